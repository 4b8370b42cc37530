//! A platform whose responses are silent or without end is unavailable after a bounded time.

use std::sync::Arc;

use pollenrouter_dev::faulty::{self, Fault};
use pollenrouter_platform::client::{Client, PlatformError};

#[test]
fn responses_without_end_are_given_up() {
    let faults = Fault::ENDLESS.into_iter().chain(Fault::SILENT);
    let faults = faults.chain([Fault::HalfBody]);
    for fault in faults {
        let platform = faulty::start(Arc::new(move |_, _| fault)).expect("platform must start");
        let client = Client::new(&format!("http://{}", platform.address));
        let result = client.get("services/board");
        let is_unavailable = matches!(result, Err(PlatformError::Unavailable(_)));
        assert!(is_unavailable, "{fault:?}: {result:?}");
    }
}
