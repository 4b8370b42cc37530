//! Commands of the scenario scripts.

use std::error::Error;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use pollenrouter_core::entry::Request;
use pollenrouter_core::service::Limits;

use crate::engine::{Engine, ScriptCall};
use crate::service::SERVICE;

type BoxError = Box<dyn Error>;

#[derive(Default)]
pub struct Script {
    engine: Engine,
    tokens: u64,
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, BoxError> {
        let mut args = command.consume_args();
        match command.name.as_str() {
            "daemon" => self.daemon(&mut args)?,
            "call" => self.call(&mut args)?,
            "ticket" => self.ticket(&mut args)?,
            "resend" => self.resend(&mut args)?,
            "disconnect" => self.disconnect(&mut args)?,
            "advance" => self.engine.advance(duration(positional(&mut args)?)?),
            "runs" => self.runs(&mut args)?,
            other => self.inject_fault(other, &mut args)?,
        }
        args.reject_next()?;
        let mut lines = std::mem::take(&mut self.engine.log);
        lines.push(String::new());
        Ok(lines.join("\n"))
    }
}

impl Script {
    fn daemon(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), BoxError> {
        let limits = Limits {
            queue: key_arg(args, "queue", 8)?,
            depth_levels: key_arg(args, "levels", 0)?,
            short_reserved: key_arg(args, "short", 0)?,
            request_bytes: 0,
            answer_bytes: 0,
            retry_percent: 10,
            ..Limits::default()
        };
        let slots = key_arg(args, "slots", 1)?;
        let service_time = duration(args.take_key("service-time").unwrap_or("10ms"))?;
        let name = positional(args)?;
        self.engine.start_host(name, slots, service_time, limits);
        Ok(())
    }

    fn call(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), BoxError> {
        let route = args.take_key("route").unwrap_or("assign").to_owned();
        let depth = key_arg(args, "depth", 0)?;
        let deadline = duration(args.take_key("deadline").unwrap_or("1s"))?;
        let at = args.take_key("at").ok_or("missing at=DAEMON")?.to_owned();
        let number: u64 = positional(args)?.parse()?;
        let assumed = args.take_key("assume");
        let mut request = self.request(number, &route, depth, deadline);
        if let Some(assumed) = assumed {
            request.at_most_once = assumed == "once";
        }
        let call = ScriptCall {
            label: format!("call {number}"),
            number,
        };
        self.engine.call(&at, call, request);
        Ok(())
    }

    /// Issues a ticket at an entry; a later call with the same number uses it.
    fn ticket(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), BoxError> {
        let at = args.take_key("at").ok_or("missing at=DAEMON")?;
        let number: u64 = positional(args)?.parse()?;
        let now = self.engine.now;
        let host = self.engine.hosts.get_mut(at).ok_or("no such daemon")?;
        let ticket = host.entry.issue_ticket(now, SERVICE, number);
        let ticket = ticket.ok_or("no ticket was issued")?;
        self.engine.log.push(format!("ticket for {}", ticket.host));
        self.engine.tickets.insert(number, ticket);
        Ok(())
    }

    /// Sends the same request again with the ticket of the call.
    fn resend(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), BoxError> {
        let at = args.take_key("at").ok_or("missing at=DAEMON")?.to_owned();
        let deadline = duration(args.take_key("deadline").unwrap_or("1s"))?;
        let number: u64 = positional(args)?.parse()?;
        let mut request = self.request(number, "assign", 0, deadline);
        request.ticket = self.engine.tickets.get(&number).cloned();
        if request.ticket.is_none() {
            return Err("the call has no ticket".into());
        }
        let call = ScriptCall {
            label: format!("resend of call {number}"),
            number,
        };
        self.engine.call(&at, call, request);
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

    fn disconnect(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), BoxError> {
        let at = args.take_key("at").ok_or("missing at=DAEMON")?.to_owned();
        let number: u64 = positional(args)?.parse()?;
        let calls = &self.engine.calls;
        let found = calls.iter().find(|(_, call)| call.number == number);
        let token = *found.ok_or("no such call")?.0;
        self.engine.disconnect_caller(&at, token);
        Ok(())
    }

    fn runs(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<(), BoxError> {
        let number: u64 = positional(args)?.parse()?;
        let runs = self.engine.runs.get(&number).copied().unwrap_or(0);
        self.engine
            .log
            .push(format!("call {number} ran {runs} times"));
        Ok(())
    }

    fn inject_fault(
        &mut self,
        fault: &str,
        args: &mut ArgumentConsumer<'_>,
    ) -> Result<(), BoxError> {
        let name = positional(args)?.to_owned();
        let engine = &mut self.engine;
        if !engine.hosts.contains_key(&name) {
            return Err(format!("daemon `{name}` does not exist").into());
        }
        let host = engine.hosts.get_mut(&name).ok_or("no such daemon")?;
        match fault {
            "freeze" => host.frozen = true,
            "stop-member-updates" => host.receives_members = false,
            "drain-target" => host.target_draining = true,
            "fail-target" => host.target_fails = true,
            "stop-announcements" => host.announces = false,
            "service-time" => host.service_time = duration(positional(args)?)?,
            "kill" => engine.kill(&name),
            "resume" => engine.resume(&name),
            "drain" => engine.drain(&name),
            "disconnect-target" => engine.disconnect_target(&name),
            "restart" => {
                let (slots, service_time, limits) =
                    (host.slots, host.service_time, host.limits.clone());
                engine.kill(&name);
                engine.start_host(&name, slots, service_time, limits);
            }
            "blackhole" => engine.links.blackhole(&name, positional(args)?),
            "partition" => engine.links.partition(&name, positional(args)?),
            "heal" => engine.links.heal(&name, positional(args)?),
            other => return Err(format!("unknown command `{other}`").into()),
        }
        Ok(())
    }
}

fn positional<'a>(args: &mut ArgumentConsumer<'a>) -> Result<&'a str, BoxError> {
    args.next_pos().ok_or_else(|| "missing argument".into())
}

fn key_arg<T: FromStr<Err: Display>>(
    args: &mut ArgumentConsumer<'_>,
    name: &str,
    default: T,
) -> Result<T, BoxError> {
    let Some(text) = args.take_key(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|err| format!("{name}={text}: {err}").into())
}

fn duration(text: &str) -> Result<Duration, BoxError> {
    let milliseconds = text.strip_suffix("ms").map(str::parse);
    let seconds = text.strip_suffix('s').map(str::parse);
    match (milliseconds, seconds) {
        (Some(Ok(ms)), _) => Ok(Duration::from_millis(ms)),
        (_, Some(Ok(s))) => Ok(Duration::from_secs(s)),
        _ => Err(format!("`{text}` is not a duration such as 300ms or 2s").into()),
    }
}
