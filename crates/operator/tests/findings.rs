//! Settings and documents with mistakes: every mistake is reported with its position.

use pollenrouter_core::shedding::Shed;
use pollenrouter_operator::{document, settings};
use rstest::rstest;

struct Case {
    text: &'static str,
    findings: &'static [&'static str],
}

const SETTINGS: Case = Case {
    text: "host: Graz Nord
platform: ftp://10.0.0.1
listen:
  public: 127.0.0.1
  internal: 127.0.0.1:1
  target: 127.0.0.1:2
  operator: 127.0.0.1:3
  daemons: 127.0.0.1:4
  surplus: 1
keys:
  authority: a
  certificate: b
  key: c
",
    findings: &[
        "1:1: field `failure_domain` is missing",
        "1:7: field `host` is `Graz Nord`, which is not a name of 1 to 63 lower-case letters, digits and hyphens",
        "2:11: field `platform` does not begin with `http://`",
        "4:11: field `listen.public` is `127.0.0.1`: invalid socket address syntax",
        "9:3: field `listen.surplus` is unknown",
    ],
};

const WRONG_TYPES: Case = Case {
    text: "service: seats
internal_callers: [board, 7]
routes:
  - name: list
    method: FETCH
    path: list
    repeatable: perhaps
    owed_ms: 0
  - name: list
    method: GET
    path: /list
    repeatable: true
    owed_ms: 100
    size: huge
measuring: 7
",
    findings: &[
        "2:27: field `internal_callers` holds an element that is not a name",
        "5:13: field `routes[0].method` is `FETCH` where one of GET, HEAD, POST, PUT, PATCH, DELETE is expected",
        "6:11: field `routes[0].path` does not begin with `/`",
        "7:17: field `routes[0].repeatable` is neither `true` nor `false`",
        "8:14: field `routes[0].owed_ms` is not a whole number from 1 to 600000",
        "14:11: field `routes[1].size` is `huge` where one of learned, short, long is expected",
        "15:12: measuring is not a mapping of fields",
    ],
};

const DUPLICATE_ROUTE: Case = Case {
    text: r#"{"service": "seats", "routes": [
  {"name": "a", "method": "GET", "path": "/a", "repeatable": true, "owed_ms": 1},
  {"name": "a", "method": "GET", "path": "/b", "repeatable": true, "owed_ms": 1}],
 "measuring": {"probes_per_minute": 1, "targets_max": 0}}"#,
    findings: &[
        "1:32: field `routes` names route `a` twice",
        "4:55: field `measuring.targets_max` is not a whole number from 1 to 10000",
    ],
};

const NOT_YAML: Case = Case {
    text: "service: [unclosed",
    findings: &["2:1: while parsing a flow sequence, expected ',' or ']'"],
};

const EMPTY: Case = Case {
    text: "",
    findings: &["1:1: text holds 0 documents where 1 is expected"],
};

fn messages<T>(result: Result<T, Vec<pollenrouter_operator::finding::Finding>>) -> Vec<String> {
    let findings = result.err().unwrap_or_default();
    findings.iter().map(ToString::to_string).collect()
}

/// Leaving out the keys must not turn off authentication: the settings have to state it.
#[test]
fn settings_without_keys_must_say_unauthenticated() {
    let example = include_str!("../../../examples/settings.yaml");
    let keys = example.find("keys:").expect("example must have keys");
    let after_keys = example
        .find("stop_timeout_ms")
        .expect("example must have stop_timeout_ms after keys");
    let without_keys = format!("{}{}", &example[..keys], &example[after_keys..]);
    let findings = messages(settings::check(&without_keys));
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert!(
        findings[0].ends_with("field `keys` is missing"),
        "{findings:?}"
    );
    let unauthenticated = format!("daemons: unauthenticated\n{without_keys}");
    assert_eq!(
        messages(settings::check(&unauthenticated)),
        Vec::<String>::new()
    );
}

#[test]
fn settings_with_five_mistakes_report_all_five() {
    assert_eq!(messages(settings::check(SETTINGS.text)), SETTINGS.findings);
}

#[rstest]
#[case(WRONG_TYPES)]
#[case(DUPLICATE_ROUTE)]
#[case(NOT_YAML)]
#[case(EMPTY)]
fn documents_with_mistakes_report_each(#[case] case: Case) {
    assert_eq!(messages(document::check(case.text)), case.findings);
}

#[rstest]
#[case(include_str!("../../../examples/wartebank/board.yaml"))]
#[case(include_str!("../../../examples/wartebank/assignment.yaml"))]
#[case(include_str!("../../../examples/wartebank/seats.yaml"))]
#[case(include_str!("../../../examples/midlands/catalogue.yaml"))]
#[case(include_str!("../../../examples/midlands/agreements.yaml"))]
#[case(include_str!("../../../examples/midlands/bookings.yaml"))]
fn examples_have_no_findings(#[case] text: &str) {
    assert_eq!(messages(document::check(text)), Vec::<String>::new());
}

#[test]
fn example_settings_have_no_findings() {
    let text = include_str!("../../../examples/settings.yaml");
    assert_eq!(messages(settings::check(text)), Vec::<String>::new());
}

/// Guards against a daemon that does not start where the platform states no limits, and against
/// limits that leave nothing for callers.
#[rstest]
#[case("memory_mb:\ndescriptors:\n", Ok((160, 4100)))]
#[case("memory_mb: 64\ndescriptors: 400\n", Ok((64, 400)))]
#[case(
    "memory_mb: 31\n",
    Err("field `memory_mb` is not a whole number from 32 to 1048576")
)]
#[case(
    "descriptors: 399\n",
    Err("field `descriptors` is not a whole number from 400 to 1048576")
)]
fn limits_of_the_host(#[case] lines: &str, #[case] expected: Result<(u64, u64), &str>) {
    let example = include_str!("../../../examples/settings.yaml");
    let checked = settings::check(&format!("{lines}{example}"));
    let found = checked.map(|found| (found.memory_mb, found.descriptors));
    let found = found.map_err(|findings| findings[0].message.clone());
    assert_eq!(found, expected.map_err(str::to_owned));
}

/// Guards against a text that ends the daemons that read it, by an overflow of the stack.
#[rstest]
#[case::sequences("- ".repeat(100_000), "1:65: text is nested deeper than 32")]
#[case::flow_sequences("[".repeat(100_000), "1:256: recursion limit exceeded")]
#[case::mappings("? ".repeat(100_000), "1:65: text is nested deeper than 32")]
fn deep_nesting_is_a_finding(#[case] text: String, #[case] finding: &str) {
    let findings = document::check(&text).expect_err("document must be rejected");
    let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(findings, [finding]);
}

/// Guards against a daemon that sheds calls of all ranks without being told to.
#[rstest]
#[case::not_stated("", Ok(Shed::Lowest))]
#[case::lowest("limits: {shed: lowest}\n", Ok(Shed::Lowest))]
#[case::all("limits: {shed: all}\n", Ok(Shed::All))]
#[case::unknown(
    "limits: {shed: some}\n",
    Err("1:16: field `limits.shed` is `some` where one of lowest, all is expected")
)]
fn only_the_lowest_rank_is_shed_unless_stated(
    #[case] limits: &str,
    #[case] expected: Result<Shed, &str>,
) {
    let example = include_str!("../../../examples/settings.yaml");
    let read = settings::check(&format!("{limits}{example}"));
    let shed = read.map(|settings| settings.limits.shed);
    let shed = shed.map_err(|findings| findings[0].to_string());
    assert_eq!(shed, expected.map_err(ToOwned::to_owned));
}
