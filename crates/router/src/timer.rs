//! Timer service: parts subscribe to a period and are called once in each.

use std::thread;
use std::time::{Duration, Instant};

use crate::error::Error;

/// A part's callback.
pub type Callback = Box<dyn FnMut() + Send>;

struct Subscription {
    period: Duration,
    due: Instant,
    callback: Callback,
}

/// Subscriptions; they begin once the service is started.
#[derive(Default)]
pub struct Timer {
    subscriptions: Vec<Subscription>,
}

impl Timer {
    /// Calls `callback` once in each `period`.
    pub fn subscribe(&mut self, period: Duration, callback: Callback) {
        self.subscriptions.push(Subscription {
            period,
            due: Instant::now() + period,
            callback,
        });
    }

    /// Starts the service's thread.
    pub fn start(mut self) -> Result<(), Error> {
        let work = move || {
            loop {
                let now = Instant::now();
                let wait = self.fire(now);
                thread::sleep(wait);
            }
        };
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(work)?;
        Ok(())
    }

    /// Calls what is due; returns the time until the next.
    fn fire(&mut self, now: Instant) -> Duration {
        for subscription in &mut self.subscriptions {
            if subscription.due <= now {
                (subscription.callback)();
                subscription.due = now + subscription.period;
            }
        }
        let next = self.subscriptions.iter().map(|s| s.due).min();
        next.map_or(Duration::from_secs(1), |due| {
            due.saturating_duration_since(Instant::now())
        })
    }
}
