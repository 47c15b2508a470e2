//! Runs every example of the help and of the pages for operators.

use std::fs;
use std::process::Command;

use googletest::prelude::*;

use crate::fixture::{Scratch, Servers, output, root, run};
use crate::reports::entry_in_force;

/// Pages whose fenced `sh` blocks are run.
const PAGES: [&str; 2] = ["README.md", "docs/OPERATIONS.md"];

/// Runs the examples of a text, one after the other, and returns those that fail.
fn failing(name: &str, lines: &[String]) -> Vec<String> {
    let mut servers = Servers::start();
    let (log, _) = servers.log(1_000);
    let first = entry_in_force(&mut servers).to_string();
    let second = entry_in_force(&mut servers).to_string();
    let scratch = Scratch::new(&format!("docs-{name}"));
    let inventory = fs::read_to_string(root().join("inventories/tunelpokrov.yaml"));
    scratch.file("rules.yaml", &inventory.expect("the inventory is there"));
    let export = fs::read_to_string(root().join("hemlockhook/tests/cli/data/assets.csv"));
    scratch.file("assets.csv", &export.expect("the export is there"));

    let base = ["--base", "0", "--log"];
    let publish = ["config", "publish", "inventories/tunelpokrov.yaml"];
    if !lines.iter().any(|line| line.contains("--base 0")) {
        run(&[&publish, &base[..], &[&log.to_string()]].concat());
    }
    lines
        .iter()
        .filter_map(|line| {
            let here = line
                .replace("127.0.0.1:7100", &log.to_string())
                .replace("127.0.0.1:7013", &second)
                .replace("127.0.0.1:7003", &first)
                .replace("127.0.0.1:7001", &first);
            let (command, target) = match here.split_once(" > ") {
                Some((command, target)) => (command, Some(target.trim())),
                None => (here.as_str(), None),
            };
            let args: Vec<String> = words(command)
                .map(|word| in_scratch(&scratch, word))
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

/// Splits a command line into words; single quotes keep spaces.
fn words(line: &str) -> impl Iterator<Item = String> {
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

/// Puts the files that examples name without a directory into the scratch directory.
fn in_scratch(scratch: &Scratch, word: String) -> String {
    let is_file = [".yaml", ".csv", ".html"]
        .iter()
        .any(|end| word.ends_with(end));
    match is_file && !word.contains('/') {
        true => scratch.0.join(word).display().to_string(),
        false => word,
    }
}

#[gtest]
fn examples_of_the_help_run() {
    let help = fs::read_to_string(root().join("hemlockhook/src/help.rs")).expect("the help");
    let lines: Vec<String> = help
        .lines()
        .filter_map(|line| line.strip_prefix("   hemlockhook "))
        .filter(|line| !line.starts_with("--"))
        .map(|line| line.trim_end_matches("\";").replace("\\\"", "\""))
        .map(|line| format!("hemlockhook {line}"))
        .collect();
    expect_that!(lines.len(), ge(15));
    expect_that!(failing("help", &lines), is_empty());
}

#[gtest]
fn examples_of_the_pages_run() {
    for page in PAGES {
        let text = fs::read_to_string(root().join(page)).expect("the page is there");
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
        expect_that!(failing(&name, &lines), is_empty(), "{page}");
    }
}

#[gtest]
fn the_settings_of_the_first_deployment_pass() {
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
        let output = output(command.arg("--settings").arg(&settings).arg("--check"));
        expect_that!(
            output.status.success(),
            eq(true),
            "{settings:?}: {output:?}"
        );
    }
}
