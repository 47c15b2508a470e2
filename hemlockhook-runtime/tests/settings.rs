//! Error messages for settings files.

use std::net::SocketAddr;
use std::path::Path;

use garde::Validate;
use googletest::prelude::*;
use hemlockhook_runtime::settings::{self, SettingsError};
use insta::assert_snapshot;
use proptest::prelude::{Just, prop_assert, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};
use serde::Deserialize;

#[derive(Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
struct Settings {
    #[garde(length(min = 1))]
    name: String,
    #[garde(skip)]
    address: SocketAddr,
    #[serde(default)]
    #[garde(range(min = 1, max = 64))]
    threads: u8,
    #[garde(dive)]
    limits: Limits,
    #[serde(default)]
    #[garde(dive)]
    upstreams: Vec<Upstream>,
    #[serde(default)]
    #[garde(skip)]
    outage: Outage,
}

#[derive(Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
struct Limits {
    #[garde(range(min = 10, max = 600_000))]
    header_timeout_ms: u64,
    #[garde(range(min = 1024))]
    body_bytes: usize,
}

#[derive(Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
struct Upstream {
    #[garde(skip)]
    address: SocketAddr,
    #[garde(range(min = 0.01, max = 100.0))]
    speed: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Outage {
    #[default]
    None,
    Refuse,
}

const VALID: &str = "
name: entry-1
address: 127.0.0.1:7000
threads: 2
limits:
  header_timeout_ms: 10
  body_bytes: 65536
upstreams:
  - address: 127.0.0.1:7001
    speed: 1
outage: refuse
";

fn errors(text: &str) -> String {
    let problems = settings::parse::<Settings>(text).unwrap_err();
    let lines: Vec<_> = problems.iter().map(|p| format!("FILE:{p}")).collect();
    lines.join("\n")
}

#[googletest::test]
fn valid_settings_are_accepted() {
    let settings = settings::parse::<Settings>(VALID).unwrap();
    expect_that!(settings.name, eq("entry-1"));
    expect_that!(settings.address.port(), eq(7000));
    expect_that!(settings.limits.body_bytes, eq(65536));
    expect_that!(settings.upstreams[0].address.port(), eq(7001));
    expect_that!(settings.outage, eq(Outage::Refuse));
}

#[googletest::test]
fn range_errors_state_both_bounds_and_the_unit() {
    assert_snapshot!(errors(
        "
name: ''
address: 127.0.0.1:7000
threads: 65
limits:
  header_timeout_ms: 5
  body_bytes: 0
upstreams:
  - address: 127.0.0.1:7001
    speed: 1
  - address: 127.0.0.1:7002
    speed: 0
"
    ));
}

#[googletest::test]
fn unknown_missing_and_mistyped_keys_are_reported_together() {
    assert_snapshot!(errors(
        "
name: entry-1
adress: 127.0.0.1:7000
threads: many
limits:
  header_timeout_ms: 700000
  body_bytes: -1
  colour: red
upstreams:
  - address: localhost
    speed: fast
  - speed: 200
outage: sometimes
"
    ));
}

#[googletest::test]
fn invalid_yaml_and_duplicate_keys_are_rejected() {
    assert_snapshot!(errors("name: [entry-1\naddress: x\n"));
    assert_snapshot!(errors(&format!("{VALID}\nname: entry-2\n")));
    assert_snapshot!(errors(""));
    assert_snapshot!(errors("- 1\n- 2\n"));
}

#[googletest::test]
fn the_error_for_a_missing_file_names_its_path() {
    let err = settings::load::<Settings>(Path::new("/nonexistent/entry.yaml")).unwrap_err();
    expect_that!(err, matches_pattern!(SettingsError::Read { .. }));
    assert_snapshot!(err);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn mutated_settings_are_accepted_or_rejected_with_problems(
        line in 1..11usize,
        change in prop_oneof![
            Just(""), Just("- x"), Just("  : 1"), Just("threads: [1, {a: 2}]"), Just("name: ~"),
            Just("limits: &a {b: *a}"), Just("upstreams: 7"), Just("outage: {refuse: 1}"),
            Just("\tname: x"), Just("address: [127.0.0.1, 7000]"), Just("---"), Just("? {}"),
        ],
    ) {
        let mut lines: Vec<&str> = VALID.lines().collect();
        lines[line - 1] = change;
        match settings::parse::<Settings>(&lines.join("\n")) {
            Ok(_) => {}
            Err(problems) => prop_assert!(!problems.is_empty()),
        }
    }
}
