//! The words of the test language.

use std::error::Error;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use pollenrouter_core::entry::Request;
use pollenrouter_core::service::Limits;

use crate::engine::{Engine, Press};
use crate::service::SERVICE;

type Failure = Box<dyn Error>;

#[derive(Default)]
pub struct Script {
    engine: Engine,
    tokens: u64,
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Failure> {
        let mut args = command.consume_args();
        match command.name.as_str() {
            "daemon" => self.daemon(&mut args)?,
            "call" => self.call(&mut args)?,
            "ticket" => self.ticket(&mut args)?,
            "again" => self.again(&mut args)?,
            "leave" => self.leave(&mut args)?,
            "advance" => self.engine.advance(duration(word(&mut args)?)?),
            "runs" => self.runs(&mut args)?,
            other => self.fault(other, &mut args)?,
        }
        args.reject_next()?;
        let mut lines = std::mem::take(&mut self.engine.log);
        lines.push(String::new());
        Ok(lines.join("\n"))
    }
}

impl Script {
    fn daemon(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Failure> {
        let limits = Limits {
            queue: key(args, "queue", 8)?,
            depth_levels: key(args, "levels", 0)?,
            short_reserved: key(args, "short", 0)?,
            request_bytes: 0,
            answer_bytes: 0,
            retry_percent: 10,
            ..Limits::default()
        };
        let slots = key(args, "slots", 1)?;
        let work = duration(args.take_key("work").unwrap_or("10ms"))?;
        let name = word(args)?;
        self.engine.start(name, slots, work, limits);
        Ok(())
    }

    fn call(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Failure> {
        let route = args.take_key("route").unwrap_or("assign").to_owned();
        let depth = key(args, "depth", 0)?;
        let deadline = duration(args.take_key("deadline").unwrap_or("1s"))?;
        let at = args.take_key("at").ok_or("missing at=DAEMON")?.to_owned();
        let number: u64 = word(args)?.parse()?;
        let believes = args.take_key("believes");
        let mut request = self.request(number, &route, depth, deadline);
        if let Some(believes) = believes {
            request.at_most_once = believes == "once";
        }
        let press = Press {
            label: format!("call {number}"),
            number,
        };
        self.engine.call(&at, press, request);
        Ok(())
    }

    /// Asks an entry for the ticket that a later call will use.
    fn ticket(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Failure> {
        let at = args.take_key("at").ok_or("missing at=DAEMON")?;
        let number: u64 = word(args)?.parse()?;
        let now = self.engine.now;
        let host = self.engine.hosts.get_mut(at).ok_or("no such daemon")?;
        let ticket = host.entry.issue_ticket(now, SERVICE, number);
        let ticket = ticket.ok_or("no ticket was issued")?;
        self.engine.log.push(format!("ticket for {}", ticket.host));
        self.engine.tickets.insert(number, ticket);
        Ok(())
    }

    /// The caller sends the same request again with the call's ticket.
    fn again(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Failure> {
        let at = args.take_key("at").ok_or("missing at=DAEMON")?.to_owned();
        let deadline = duration(args.take_key("deadline").unwrap_or("1s"))?;
        let number: u64 = word(args)?.parse()?;
        let mut request = self.request(number, "assign", 0, deadline);
        request.ticket = self.engine.tickets.get(&number).cloned();
        if request.ticket.is_none() {
            return Err("the call has no ticket yet".into());
        }
        let press = Press {
            label: format!("call {number} again"),
            number,
        };
        self.engine.call(&at, press, request);
        Ok(())
    }

    fn request(&mut self, number: u64, route: &str, depth: u8, remaining: Duration) -> Request {
        self.tokens += 1;
        Request {
            token: self.tokens,
            service: SERVICE.into(),
            route: route.into(),
            depth,
            remaining,
            objective: remaining,
            max_attempts: 3,
            at_most_once: route == "assign",
            fingerprint: number,
            ticket: self.engine.tickets.get(&number).cloned(),
            retry_percent: 10,
            draw: number,
            ..Request::default()
        }
    }

    fn leave(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Failure> {
        let at = args.take_key("at").ok_or("missing at=DAEMON")?.to_owned();
        let number: u64 = word(args)?.parse()?;
        let presses = &self.engine.presses;
        let found = presses.iter().find(|(_, press)| press.number == number);
        let token = *found.ok_or("no such call")?.0;
        self.engine.leave(&at, token);
        Ok(())
    }

    fn runs(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), Failure> {
        let number: u64 = word(args)?.parse()?;
        let runs = self.engine.runs.get(&number).copied().unwrap_or(0);
        self.engine
            .log
            .push(format!("call {number} ran {runs} times"));
        Ok(())
    }

    fn fault(&mut self, fault: &str, args: &mut ArgumentConsumer<'_>) -> Result<(), Failure> {
        let name = word(args)?.to_owned();
        let engine = &mut self.engine;
        if !engine.hosts.contains_key(&name) {
            return Err(format!("daemon `{name}` does not exist").into());
        }
        let host = engine.hosts.get_mut(&name).ok_or("no such daemon")?;
        match fault {
            "freeze" => host.frozen = true,
            "deaf" => host.hears = false,
            "drain-target" => host.draining = true,
            "fail" => host.fails = true,
            "silent-target" => host.announces = false,
            "work" => host.work = duration(word(args)?)?,
            "kill" => engine.kill(&name),
            "resume" => engine.resume(&name),
            "drain" => engine.drain(&name),
            "break-off" => engine.break_off(&name),
            "restart" => {
                let (slots, work, limits) = (host.slots, host.work, host.limits.clone());
                engine.kill(&name);
                engine.start(&name, slots, work, limits);
            }
            "silence" => engine.links.silence(&name, word(args)?),
            "cut" => engine.links.cut(&name, word(args)?),
            "heal" => engine.links.heal(&name, word(args)?),
            other => return Err(format!("unknown command `{other}`").into()),
        }
        Ok(())
    }
}

fn word<'a>(args: &mut ArgumentConsumer<'a>) -> Result<&'a str, Failure> {
    args.next_pos().ok_or_else(|| "missing argument".into())
}

fn key<T: FromStr<Err: Display>>(
    args: &mut ArgumentConsumer<'_>,
    name: &str,
    default: T,
) -> Result<T, Failure> {
    let Some(text) = args.take_key(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|err| format!("{name}={text}: {err}").into())
}

fn duration(text: &str) -> Result<Duration, Failure> {
    let milliseconds = text.strip_suffix("ms").map(str::parse);
    let seconds = text.strip_suffix('s').map(str::parse);
    match (milliseconds, seconds) {
        (Some(Ok(ms)), _) => Ok(Duration::from_millis(ms)),
        (_, Some(Ok(s))) => Ok(Duration::from_secs(s)),
        _ => Err(format!("`{text}` is not a time such as 300ms or 2s").into()),
    }
}
