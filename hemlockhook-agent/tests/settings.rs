//! What is wrong with settings is told all at once.

use std::fs;
use std::path::Path;

use googletest::prelude::*;
use hemlockhook_agent::Settings;
use hemlockhook_runtime::settings::load;

const SMALLEST: &str = "name: desk-1
data_center: osijek
link_address: 127.0.0.1:7301
admin_address: 127.0.0.1:7302
upstream_address: 127.0.0.1:8301
log_address: 127.0.0.1:7100
";

/// Loads settings and returns what is wrong with them, without the file's directory.
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
fn the_smallest_settings_are_enough() {
    expect_that!(problems("smallest.yaml", SMALLEST), eq(""));
}

#[gtest]
fn every_problem_is_told_with_its_place_range_and_unit() {
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
