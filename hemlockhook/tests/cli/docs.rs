//! Runs every example in the help texts and on the pages for operators.

use std::fs;
use std::process::Command;

use googletest::prelude::*;

use crate::fixture::{Scratch, Servers, root, run, run_to_end};
use crate::reports::start_entry_in_force;

/// Pages whose `sh` code blocks are run.
const PAGES: [&str; 2] = ["README.md", "docs/OPERATIONS.md"];

/// Runs example command lines in order, and returns those that fail, with their output.
fn failing_examples(name: &str, lines: &[String]) -> Vec<String> {
    let mut servers = Servers::start();
    let (log, _) = servers.log(1_000);
    let first = start_entry_in_force(&mut servers).to_string();
    let second = start_entry_in_force(&mut servers).to_string();
    let scratch = Scratch::new(&format!("docs-{name}"));
    let inventory = fs::read_to_string(root().join("inventories/tunelpokrov.yaml"));
    scratch.file("rules.yaml", &inventory.expect("the inventory can be read"));
    let export = fs::read_to_string(root().join("hemlockhook/tests/cli/data/assets.csv"));
    scratch.file("assets.csv", &export.expect("the export can be read"));

    let base = ["--base", "0", "--log"];
    let publish = ["config", "publish", "inventories/tunelpokrov.yaml"];
    if !lines.iter().any(|line| line.contains("--base 0")) {
        run(&[&publish, &base[..], &[&log.to_string()]].concat());
    }
    lines
        .iter()
        .filter_map(|line| {
            let rewritten = line
                .replace("127.0.0.1:7100", &log.to_string())
                .replace("127.0.0.1:7013", &second)
                .replace("127.0.0.1:7003", &first)
                .replace("127.0.0.1:7001", &first);
            let (command, target) = match rewritten.split_once(" > ") {
                Some((command, target)) => (command, Some(target.trim())),
                None => (rewritten.as_str(), None),
            };
            let args: Vec<String> = split_words(command)
                .map(|word| resolve_in_scratch(&scratch, word))
                .collect();
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            let output = run(&args[1..]);
            if let Some(target) = target {
                scratch.file(target, &output.stdout);
            }
            (output.code != 0).then(|| format!("{line}\n{}", output.all()))
        })
        .collect()
}

/// Splits a command line into words. Single quotes keep spaces.
fn split_words(line: &str) -> impl Iterator<Item = String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for c in line.chars() {
        match (c, words.last_mut()) {
            ('\'', _) => quoted = !quoted,
            (' ', _) if !quoted => words.push(String::new()),
            (c, Some(word)) => word.push(c),
            (_, None) => {}
        }
    }
    words.into_iter().filter(|word| !word.is_empty())
}

/// Resolves a file name without a directory to a path in the scratch directory.
fn resolve_in_scratch(scratch: &Scratch, word: String) -> String {
    let is_file = [".yaml", ".csv", ".html"]
        .iter()
        .any(|suffix| word.ends_with(suffix));
    match is_file && !word.contains('/') {
        true => scratch.0.join(word).display().to_string(),
        false => word,
    }
}

#[gtest]
fn examples_of_the_help_run() {
    let help = fs::read_to_string(root().join("hemlockhook/src/help.rs"))
        .expect("the help source can be read");
    let lines: Vec<String> = help
        .lines()
        .filter_map(|line| line.strip_prefix("   hemlockhook "))
        .filter(|line| !line.starts_with("--"))
        .map(|line| line.trim_end_matches("\";").replace("\\\"", "\""))
        .map(|line| format!("hemlockhook {line}"))
        .collect();
    expect_that!(lines.len(), ge(15));
    expect_that!(failing_examples("help", &lines), is_empty());
}

#[gtest]
fn examples_of_the_pages_run() {
    for page in PAGES {
        let text = fs::read_to_string(root().join(page)).expect("the page can be read");
        let mut in_block = false;
        let mut lines = Vec::new();
        for line in text.lines() {
            match line.trim() {
                "```sh" => in_block = true,
                "```" => in_block = false,
                line if in_block && line.starts_with("hemlockhook ") => lines.push(line.to_owned()),
                _ => {}
            }
        }
        let name = page.replace('/', "-");
        expect_that!(failing_examples(&name, &lines), is_empty(), "{page}");
    }
}

#[gtest]
fn the_settings_files_are_valid() {
    let programs = [
        (env!("CARGO_BIN_EXE_hemlockhook-standin"), "standin"),
        (env!("CARGO_BIN_EXE_hemlockhook-entry"), "entry-osijek"),
        (env!("CARGO_BIN_EXE_hemlockhook-entry"), "entry-vukovar"),
        (env!("CARGO_BIN_EXE_hemlockhook-agent"), "agent-orders-os-1"),
        (env!("CARGO_BIN_EXE_hemlockhook-agent"), "agent-orders-vu-1"),
    ];
    for (program, name) in programs {
        let settings = root().join(format!("settings/{name}.yaml"));
        let mut command = Command::new(program);
        let output = run_to_end(command.arg("--settings").arg(&settings).arg("--check"));
        expect_that!(
            output.status.success(),
            eq(true),
            "{settings:?}: {output:?}"
        );
    }
}
