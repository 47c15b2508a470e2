//! Tests of the validation of settings: all problems are reported together.

use std::fs;
use std::path::Path;

use googletest::prelude::*;
use hemlockhook_agent::Settings;
use hemlockhook_runtime::settings::load;

const MINIMAL: &str = "name: desk-1
data_center: osijek
link_address: 127.0.0.1:7301
admin_address: 127.0.0.1:7302
upstream_address: 127.0.0.1:8301
log_address: 127.0.0.1:7100
";

/// Loads settings and returns the problems found, with the directory removed from the file's path.
fn problems(name: &str, text: &str) -> String {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(name);
    fs::write(&path, text).unwrap();
    match load::<Settings>(&path) {
        Ok(_) => String::new(),
        Err(err) => err.to_string().replace(&format!("{}/", dir.display()), ""),
    }
}

#[gtest]
fn minimal_settings_are_valid() {
    expect_that!(problems("minimal.yaml", MINIMAL), eq(""));
}

#[gtest]
fn problems_are_reported_with_position_range_and_unit() {
    let text = "name: ''
data_center: osijek
link_address: 127.0.0.1:7301
admin_address: 127.0.0.1
upstream_address: 127.0.0.1:8301
log_level: loud
colour: red
limits:
  window_s: 5
  max_answer_bytes: 0
  upstream_connections: many
";
    insta::assert_snapshot!(problems("wrong.yaml", text));
}
