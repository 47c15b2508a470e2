//! Settings that switch a part on.

use std::path::Path;

use googletest::prelude::*;
use hemlockhook_leased::EntrySettings;
use hemlockhook_runtime::settings;

const REQUIRED: &str = "\
name: entry-1
data_center: here
callers_address: 127.0.0.1:1
ready_address: 127.0.0.1:2
links_address: 127.0.0.1:3
store_address: 127.0.0.1:4
";

/// A setting that is not read, or read as another one, would leave admission by class off unnoticed.
#[gtest]
fn admission_by_class_is_off_unless_set() {
    let load = |name: &str, line: &str| {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, format!("{REQUIRED}{line}")).expect("the file can be written");
        let settings = settings::load::<EntrySettings>(&path).ok();
        settings.map(|settings| settings.policy().is_admission_by_class)
    };
    expect_that!(load("off.yaml", ""), some(eq(false)));
    expect_that!(load("on.yaml", "overload: by_class\n"), some(eq(true)));
    expect_that!(load("odd.yaml", "overload: by_chance\n"), none());
}
