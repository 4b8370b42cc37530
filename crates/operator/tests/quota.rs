//! Settings for quotas, as the template of the deployment states them.

use std::time::Duration;

use pollenrouter_core::quota;
use pollenrouter_operator::settings;
use rstest::rstest;

const TEMPLATE: &str = include_str!("../../../deploy/settings.yaml");

/// The template as the platform renders it, with these values for the quotas.
fn render(window: &str, overshoot: &str, slack: &str) -> String {
    let values = [
        ("bounds.quotaWindowS", window),
        ("bounds.quotaOvershoot", overshoot),
        ("bounds.quotaSlack", slack),
        ("node", "host-0"),
        ("zone", "domain-0"),
        ("platform.address", "127.0.0.1:1"),
        ("service", "seats"),
        ("appAddr", "127.0.0.1:2"),
        ("heartbeatS", "1"),
        ("bounds.graceS", "2"),
        ("bounds.retryBudgetRatio", "0.2"),
        ("bounds.retryBudgetSlack", "62"),
        ("listen.outbound", "127.0.0.1:3"),
        ("listen.control", "127.0.0.1:4"),
        ("listen.ready", "127.0.0.1:5"),
        ("internalPorts.0", "6"),
        ("ip", "127.0.0.1"),
        ("limits.memoryMb", "160"),
        ("limits.maxFds", "4100"),
    ];
    let render =
        |text: String, (name, value): (&str, &str)| text.replace(&format!("{{{{{name}}}}}"), value);
    let text = values.into_iter().fold(TEMPLATE.to_owned(), render);
    // The platform states no time by which evacuations hold.
    text.replace("{{#bounds.evacuateS}}true{{/bounds.evacuateS}}", "")
}

/// Guards against a daemon that does not start where the platform states no values.
#[test]
fn empty_values_mean_the_defaults() {
    let settings = settings::check(&render("", "", "")).expect("settings must be valid");
    let expected = quota::Settings {
        window: Duration::from_secs(5),
        overshoot: 0.1,
        slack: 20,
    };
    assert_eq!(settings.quota, expected);
}

#[test]
fn stated_values_apply() {
    let settings = settings::check(&render("10", "0.25", "0")).expect("settings must be valid");
    let expected = quota::Settings {
        window: Duration::from_secs(10),
        overshoot: 0.25,
        slack: 0,
    };
    assert_eq!(settings.quota, expected);
}

#[rstest]
#[case::no_window("0", "", "", "field `quota.window_s` is not a number from 1 to 3600")]
#[case::no_overshoot("", "0", "", "field `quota.overshoot` is not a number from 0.02 to 1")]
#[case::negative_slack(
    "",
    "",
    "-1",
    "field `quota.slack` is not a whole number from 0 to 100000"
)]
#[case::text(
    "many",
    "",
    "",
    "field `quota.window_s` is not a number from 1 to 3600"
)]
fn wrong_values_are_findings(
    #[case] window: &str,
    #[case] overshoot: &str,
    #[case] slack: &str,
    #[case] expected: &str,
) {
    let findings = settings::check(&render(window, overshoot, slack));
    let findings = findings.expect_err("settings must be rejected");
    let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert!(findings[0].ends_with(expected), "{findings:?}");
}
