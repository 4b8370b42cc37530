//! What gates have said about their targets, kept across restarts of the gates.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gate::statement::TargetNotice;
use crate::id;

/// Hosts whose notices are kept.
const NOTICES_MAX: usize = 1024;

/// The latest notice of each host, with the time at which it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Notices(BTreeMap<id::HostName, (TargetNotice, Duration)>);

impl Notices {
    pub(super) fn get(&self, host: &id::HostName) -> Option<&TargetNotice> {
        self.0.get(host).map(|(notice, _)| notice)
    }

    /// Records what a gate says about its target; `None` if there is nothing to say.
    pub(super) fn record(
        &mut self,
        now: Duration,
        host: id::HostName,
        notice: Option<TargetNotice>,
    ) {
        let known = self.0.remove(&host).map(|(notice, _)| notice);
        let departed = known.filter(|known| known.leaving);
        let notice = match (notice, departed) {
            (Some(notice), Some(departed)) if notice.target == departed.target => TargetNotice {
                leaving: true,
                ..notice
            },
            (Some(notice), _) => notice,
            // A target that has left stays so.
            (None, Some(departed)) => departed,
            (None, None) => return,
        };
        self.0.insert(host, (notice, now));
        if self.0.len() > NOTICES_MAX {
            let oldest = self.0.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(host) = oldest.map(|(host, _)| host.clone()) {
                self.0.remove(&host);
            }
        }
    }
}
