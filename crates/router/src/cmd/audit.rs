//! `pollenrouter audit`.

use std::time::{Duration, UNIX_EPOCH};

use pollenrouter_core::{id, replica};
use pollenrouter_platform::client::Client;
use pollenrouter_platform::dialect::Freshness;
use pollenrouter_platform::object::{self, Change};

use crate::cli;
use crate::error::Error;

struct Line {
    key: replica::Key,
    change: Change,
    to: id::Version,
}

/// Prints all changes that the platform remembers, oldest first.
pub fn run(args: &cli::Audit) -> Result<(), Error> {
    let client = Client::new(&args.platform.url);
    let mut lines = Vec::new();
    for object in client.list("", Freshness::Current)?.objects {
        if is_wanted(&object.key, args.service.as_deref()) {
            lines.extend(of(&object));
        }
    }
    lines.sort_by_key(|line| (line.change.at, line.change.from));
    for line in &lines {
        print(line);
    }
    Ok(())
}

fn is_wanted(key: &str, service: Option<&str>) -> bool {
    service
        .is_none_or(|name| key == object::service_key(name) || key == object::rejections_key(name))
}

fn of(object: &replica::Object) -> Vec<Line> {
    let changes = changes(object);
    // Each change's result is what the next one was based on.
    let results = changes.iter().skip(1).map(|next| next.from);
    let results: Vec<id::Version> = results.chain([object.version]).collect();
    changes
        .into_iter()
        .zip(results)
        .map(|(change, to)| Line {
            key: object.key.clone(),
            change,
            to,
        })
        .collect()
}

fn changes(object: &replica::Object) -> Vec<Change> {
    #[derive(serde::Deserialize)]
    struct Changed {
        changes: Vec<Change>,
    }
    serde_json::from_str::<Changed>(&object.value).map_or_else(|_| Vec::new(), |c| c.changes)
}

fn print(line: &Line) {
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
