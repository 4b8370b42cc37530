//! `pollenrouter audit`.

use std::time::{Duration, UNIX_EPOCH};

use pollenrouter_core::{id, replica};
use pollenrouter_platform::client::Client;
use pollenrouter_platform::dialect::Freshness;
use pollenrouter_platform::object::{self, Change};

use crate::cli;
use crate::error::Error;

struct AuditLine {
    key: replica::Key,
    change: Change,
    to: id::Version,
}

/// Prints all changes recorded in the objects of the platform, oldest first.
pub fn run(args: &cli::Audit) -> Result<(), Error> {
    let client = Client::new(&args.platform.url);
    let mut lines = Vec::new();
    for object in client.list("", Freshness::Current)?.objects {
        if matches_service(&object.key, args.service.as_deref()) {
            lines.extend(audit_lines(&object));
        }
    }
    lines.sort_by_key(|line| (line.change.at, line.change.from));
    for line in &lines {
        print_line(line);
    }
    Ok(())
}

fn matches_service(key: &str, service: Option<&str>) -> bool {
    service
        .is_none_or(|name| key == object::service_key(name) || key == object::rejections_key(name))
}

fn audit_lines(object: &replica::Object) -> Vec<AuditLine> {
    let changes = changes(object);
    // The version that a change produced is the one that the next change is based on.
    let versions = changes.iter().skip(1).map(|next| next.from);
    let versions: Vec<id::Version> = versions.chain([object.version]).collect();
    changes
        .into_iter()
        .zip(versions)
        .map(|(change, to)| AuditLine {
            key: object.key.clone(),
            change,
            to,
        })
        .collect()
}

fn changes(object: &replica::Object) -> Vec<Change> {
    #[derive(serde::Deserialize)]
    struct WithChanges {
        changes: Vec<Change>,
    }
    serde_json::from_str::<WithChanges>(&object.value).map_or_else(|_| Vec::new(), |c| c.changes)
}

fn print_line(line: &AuditLine) {
    let at = humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_secs(line.change.at));
    let Change {
        author,
        action,
        from,
        ..
    } = &line.change;
    let to = line.to;
    println!(
        "{at} {} {action} by {author}: version {from} to {to}",
        line.key
    );
}
