//! The time of day may jump by seconds. Nothing that decides reads it.

use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;

/// Ways to read the time of day.
const READS: [&str; 3] = ["SystemTime", "wall_time", "UNIX_EPOCH"];

fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("the directory exists") {
        let path = entry.expect("the directory can be read").path();
        match path.is_dir() {
            true => sources(&path, found),
            false => found.push(path),
        }
    }
}

/// Returns the files below a directory of the workspace that read the time of day.
fn readers(dir: &str) -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    sources(&root.join(dir), &mut files);
    let reads = |path: &&PathBuf| {
        let text = fs::read_to_string(path).expect("the file can be read");
        READS.iter().any(|read| text.contains(read))
    };
    let name = |path: &PathBuf| {
        path.file_name()
            .map(|name| name.to_string_lossy().into_owned())
    };
    files.iter().filter(reads).filter_map(name).collect()
}

#[gtest]
fn no_decision_reads_the_time_of_day() {
    expect_that!(readers("hemlockhook-dispatch/src"), is_empty());
    expect_that!(readers("platform/src"), is_empty());
}

/// An agent takes its first fencing token from the time of day. If that was set back, upstreams refuse
/// the token as old, and the agent raises it.
#[gtest]
fn the_daemons_read_it_for_the_first_fencing_token_only() {
    expect_that!(
        readers("hemlockhook-leased/src"),
        elements_are![eq("core.rs")]
    );
    let core = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/agent/core.rs");
    let text = fs::read_to_string(core).expect("the file can be read");
    expect_that!(text.matches(".wall_time()").count(), eq(1));
}
