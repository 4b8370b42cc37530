//! Links of hosts: each sends and receives one message after the other, at its rate.

use std::collections::BTreeMap;
use std::time::Duration;

use pollenrouter_core::id::HostName;

/// Rate of most hosts, bytes per second: 10 Mbit/s.
const SLOW_RATE: u32 = 1_250_000;
/// Rate of the others, bytes per second: 200 Mbit/s.
const FAST_RATE: u32 = 25_000_000;
/// One host in this many has a fast link.
const FAST_EVERY: usize = 13;
/// Delay within a failure domain and between two.
const NEAR_DELAY: Duration = Duration::from_micros(200);
const FAR_DELAY: Duration = Duration::from_micros(3_400);
/// Headers of a datagram and of a QUIC packet, bytes.
const HEADER_BYTES: usize = 80;

#[derive(Default)]
struct Link {
    rate: u32,
    domain: usize,
    sends_until: Duration,
    receives_until: Duration,
}

/// The links of all hosts.
#[derive(Default)]
pub struct Links {
    links: BTreeMap<HostName, Link>,
    /// Longest time that a message has waited for a link.
    pub longest_wait: Duration,
}

impl Links {
    pub fn add(&mut self, host: HostName, number: usize, domain: usize) {
        let is_fast = number.is_multiple_of(FAST_EVERY);
        let link = Link {
            rate: if is_fast { FAST_RATE } else { SLOW_RATE },
            domain,
            ..Link::default()
        };
        self.links.insert(host, link);
    }

    /// When a message of this size that is sent now has arrived.
    pub fn send(
        &mut self,
        from: &HostName,
        to: &HostName,
        bytes: usize,
        now: Duration,
    ) -> Duration {
        let bytes = bytes + HEADER_BYTES;
        let sender = self.links.get_mut(from).expect("sender must have a link");
        let begin = sender.sends_until.max(now);
        sender.sends_until = begin + duration(bytes, sender.rate);
        let (sent, from_domain) = (sender.sends_until, sender.domain);
        let is_near = self.links[to].domain == from_domain;
        let delay = if is_near { NEAR_DELAY } else { FAR_DELAY };
        let received = self.receive(to, bytes, sent + delay);
        self.longest_wait = self.longest_wait.max(begin.saturating_sub(now));
        received
    }

    /// When a message of this size that reaches a host's link now has been received.
    pub fn receive(&mut self, to: &HostName, bytes: usize, now: Duration) -> Duration {
        let receiver = self.links.get_mut(to).expect("receiver must have a link");
        let begin = receiver.receives_until.max(now);
        receiver.receives_until = begin + duration(bytes, receiver.rate);
        self.longest_wait = self.longest_wait.max(begin.saturating_sub(now));
        receiver.receives_until
    }
}

fn duration(bytes: usize, rate: u32) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    Duration::from_secs(1) * bytes / rate
}
