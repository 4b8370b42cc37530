//! The setting that lets operators evacuate failure domains.

use pollenrouter_operator::settings;
use rstest::rstest;

/// The example, with another setting at its end.
fn check(setting: &str) -> Option<bool> {
    let example = include_str!("../../../examples/settings.yaml");
    let checked = settings::check(&format!("{example}{setting}"));
    checked.ok().map(|settings| settings.evacuations)
}

/// Guards against calls to the platform, which are billed, where no one has asked for evacuations.
/// A template leaves the value empty then.
#[rstest]
#[case::absent("", Some(false))]
#[case::empty("evacuations:\n", Some(false))]
#[case::empty_with_space("evacuations: \n", Some(false))]
#[case::off("evacuations: false\n", Some(false))]
#[case::on("evacuations: true\n", Some(true))]
#[case::word("evacuations: often\n", None)]
fn evacuations_are_off_unless_the_settings_say_so(
    #[case] setting: &str,
    #[case] expected: Option<bool>,
) {
    assert_eq!(check(setting), expected);
}
