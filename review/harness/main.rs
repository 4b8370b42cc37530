//! Stand-ins and scenarios of the review's scripts: `harness CASE RECORD`. `TROUBLE=0` leaves out
//! the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#![allow(dead_code)]

mod attempts;
mod backend;
mod bodies;
mod crashes;
mod departures;
mod fleet;
mod http;
mod json;
mod proxy;
mod record;
mod restarted;
mod silence;
mod store;
mod zone_loss;

use std::env;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, path] = args.as_slice() else {
        println!("usage: harness CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(path);
    let broken = match case.as_str() {
        "bodies" => bodies::run(trouble, &record),
        "attempts" => attempts::run(trouble, &record),
        "crashes" => crashes::run(trouble, &record),
        "forgotten-departure" => departures::run_forgotten(trouble, &record),
        "lost-departure" => departures::run_lost(trouble, &record),
        "zone-loss" => zone_loss::run(trouble, &record),
        "restarted" => restarted::run(trouble, &record),
        "silence" => silence::run(trouble, &record),
        _ => {
            println!("no such case");
            return ExitCode::from(2);
        }
    };
    record.say(if broken { "BROKEN" } else { "held" });
    ExitCode::from(u8::from(broken))
}
