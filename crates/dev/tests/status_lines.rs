//! What callers with tickets get for answers whose status line is invalid, at once and from what
//! the gate keeps for resends.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use pollenrouter_dev::deployment::Deployment;
use pollenrouter_dev::faulty::{self, Fault, INVALID_STATUS_LINES};
use pollenrouter_http::problem::{OUTCOME_HEADER, TICKET_HEADER};

/// Sends a call with a ticket; returns the status and the outcome of the response, 0 if it is no
/// response, and whether it has a header of the target.
fn call(public: SocketAddr, path: &str, ticket: &str) -> (u16, String, bool) {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    let agent: ureq::Agent = config.build().into();
    let request = agent
        .post(format!("http://{public}{path}"))
        .header("pollenrouter-deadline-ms", "400")
        .header(TICKET_HEADER, ticket);
    let Ok(response) = request.send_empty() else {
        return (0, String::new(), false);
    };
    let headers = response.headers();
    let outcome = headers.get(OUTCOME_HEADER).map(|value| value.to_str());
    let outcome = outcome.and_then(Result::ok).unwrap_or_default().to_owned();
    let is_sealed = headers.contains_key("server-seal");
    (response.status().as_u16(), outcome, is_sealed)
}

/// Guards against an answer that is no answer and is given to the caller, or kept and given to the
/// same request when it comes again.
#[test]
fn an_answer_with_an_invalid_status_line_is_neither_given_nor_kept() {
    let plan = support::two_service_plan(1, 0);
    let deployment = Deployment::start(&plan).expect("deployment must start");
    let choose = |_: usize, head: &str| {
        let index = head
            .split_once("line=")
            .and_then(|(_, rest)| rest.split(' ').next());
        let index = index.and_then(|text| text.parse().ok());
        let line = index.and_then(|index: usize| INVALID_STATUS_LINES.get(index));
        line.map_or(Fault::None, |line| Fault::StatusLine(line))
    };
    let target = faulty::start(Arc::new(choose)).expect("target must start");
    support::replace_target(&deployment, 1, "assignment", target.address, 10);
    let mut wrong = Vec::new();
    for (index, line) in INVALID_STATUS_LINES.iter().enumerate() {
        for entry in [1, 0] {
            let ticket = support::issue_ticket(&deployment, entry, "assignment");
            let path = format!("/assignment/assign?line={index}");
            // The second one comes through the other daemon.
            for host in [entry, 1 - entry] {
                let public = deployment.hosts[host].addresses.public;
                let got = call(public, &path, &ticket);
                println!("{line:?} at host {host}: {got:?}");
                let (status, outcome, is_sealed) = &got;
                if ![502, 504].contains(status) || outcome != "unknown" || *is_sealed {
                    wrong.push((line, host, got));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    let requests = target.seen.try_iter();
    let requests = requests
        .filter(|seen| matches!(seen, faulty::Seen::Request(_, head) if head.contains("line=")));
    assert_eq!(requests.count(), 2 * INVALID_STATUS_LINES.len());
}
