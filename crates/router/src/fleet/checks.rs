//! Checks objects before they are stored and passed on.

use log::warn;
use pollenrouter_core::{membership, replica};
use pollenrouter_platform::object::{self, Member};

/// Removes member objects that are malformed. The last sound version of the object stays in use,
/// and other daemons do not get an object that may be too large or too deeply nested for them.
pub(super) fn without_malformed(
    input: membership::Input,
    held: &replica::Replica,
) -> membership::Input {
    let is_sound = |object: &replica::Object| {
        let held = held.get(&object.key);
        let is_older = held.is_some_and(|held| held.version >= object.version);
        is_older || is_sound(object)
    };
    match input {
        membership::Input::Read(mut objects, draw) => {
            objects.retain(is_sound);
            membership::Input::Read(objects, draw)
        }
        membership::Input::Received(host, mut message, draw) => {
            message.objects.retain(is_sound);
            membership::Input::Received(host, message, draw)
        }
        other => other,
    }
}

/// Whether an object is no member, or the well-formed one of the host in its key.
fn is_sound(object: &replica::Object) -> bool {
    let Some(host) = object.key.strip_prefix(object::MEMBERS) else {
        return true;
    };
    let finding = match serde_json::from_str::<Member>(&object.value) {
        Ok(member) if member.host == host => return true,
        Ok(member) => format!("it names host `{}`", member.host),
        Err(err) => err.to_string(),
    };
    let version = object.version;
    warn!(key:% = object.key, version; "malformed member object ignored: {finding}");
    false
}
