//! Timer thread that runs callbacks periodically.

use std::thread;
use std::time::{Duration, Instant};

use crate::error::Error;

/// Function that the timer thread calls periodically.
pub type Callback = Box<dyn FnMut() + Send>;

struct Subscription {
    period: Duration,
    due_at: Instant,
    callback: Callback,
}

/// Periodic callbacks, which run once the thread has started.
#[derive(Default)]
pub struct Timer {
    subscriptions: Vec<Subscription>,
}

impl Timer {
    /// Registers `callback` to run once per `period`.
    pub fn subscribe(&mut self, period: Duration, callback: Callback) {
        self.subscriptions.push(Subscription {
            period,
            due_at: Instant::now() + period,
            callback,
        });
    }

    /// Starts the timer thread.
    pub fn start(mut self) -> Result<(), Error> {
        let run = move || {
            loop {
                let now = Instant::now();
                let wait = self.run_due(now);
                thread::sleep(wait);
            }
        };
        thread::Builder::new().name("timer".to_owned()).spawn(run)?;
        Ok(())
    }

    /// Runs the callbacks that are due. Returns the time until the next one.
    fn run_due(&mut self, now: Instant) -> Duration {
        for subscription in &mut self.subscriptions {
            if subscription.due_at <= now {
                (subscription.callback)();
                subscription.due_at = now + subscription.period;
            }
        }
        let next = self.subscriptions.iter().map(|s| s.due_at).min();
        next.map_or(Duration::from_secs(1), |due_at| {
            due_at.saturating_duration_since(Instant::now())
        })
    }
}
