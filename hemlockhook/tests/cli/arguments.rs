//! Tests of help, usage errors and `hemlockhook inventory`.

use googletest::prelude::*;

use crate::fixture::{Scratch, UNUSED_ADDRESS, run};

const SUBCOMMANDS: [&str; 17] = [
    "",
    "inventory",
    "inventory check",
    "inventory import",
    "inventory schema",
    "config",
    "config publish",
    "config show",
    "config history",
    "config diff",
    "config status",
    "status",
    "drain",
    "job show",
    "submit",
    "report burn",
    "events",
];

#[gtest]
fn help_is_as_documented() {
    for subcommand in SUBCOMMANDS {
        let mut args: Vec<&str> = subcommand.split_whitespace().collect();
        args.push("--help");
        let output = run(&args);
        let name = format!("help_{}", subcommand.replace(' ', "_"));
        insta::assert_snapshot!(name, output.all());
    }
}

#[gtest]
fn usage_errors_exit_with_2() {
    let cases: [&[&str]; 7] = [
        &["statsu"],
        &["status"],
        &["status", "--entry", "localhost"],
        &["status", "--entry", UNUSED_ADDRESS, "--output", "xml"],
        &[
            "config",
            "publish",
            "inventories/asante.yaml",
            "--log",
            UNUSED_ADDRESS,
        ],
        &["inventory", "check", "nowhere.yaml"],
        &[
            "submit",
            "--to",
            UNUSED_ADDRESS,
            "--team",
            "a",
            "--service",
            "b",
            "{",
        ],
    ];
    let outputs: Vec<String> = cases
        .iter()
        .map(|args| {
            let output = run(args);
            expect_that!(output.code, eq(2), "{args:?}");
            format!("$ hemlockhook {}\n{}", args.join(" "), output.all())
        })
        .collect();
    insta::assert_snapshot!(outputs.join("\n\n"));
}

#[gtest]
fn completions_exist_for_each_shell() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&[&format!("--bpaf-complete-style-{shell}")]);
        expect_that!(output.code, eq(0));
        expect_that!(output.stdout, contains_substring("hemlockhook"));
    }
}

#[gtest]
fn a_valid_inventory_passes() {
    let output = run(&["inventory", "check", "inventories/tunelpokrov.yaml"]);
    insta::assert_snapshot!(output.all());
}

#[gtest]
fn problems_are_listed_as_text_and_as_json() {
    let faulty = "hemlockhook-inventory/tests/data/faulty.yaml";
    let text = run(&["inventory", "check", faulty]);
    expect_that!(text.code, eq(1));
    expect_that!(
        text.stderr,
        contains_substring("faulty.yaml:6:77: workers[0].memory_gb")
    );

    let json = run(&["inventory", "check", faulty, "--output", "json"]);
    expect_that!(json.code, eq(1));
    expect_that!(json.json()["problems"][0]["line"].as_u64(), some(eq(1)));
}

#[gtest]
fn an_export_is_imported() {
    let csv = "hemlockhook/tests/cli/data/assets.csv";
    let output = run(&["inventory", "import", csv, "--deployment", "tunelpokrov"]);
    insta::assert_snapshot!(output.all());

    let scratch = Scratch::new("import");
    let file = scratch.file("imported.yaml", &output.stdout);
    expect_that!(run(&["inventory", "check", &file]).code, eq(0));
}

#[gtest]
fn a_faulty_export_is_refused() {
    let scratch = Scratch::new("faulty-export");
    let columns = scratch.file("columns.csv", "name,worker,rak,slots\na,b,c,8\n");
    let cells = scratch.file(
        "cells.csv",
        "name,worker,rack,data_center,region,processors,memory_gb,services,slots,connections\n\
         a,w1,r1,osijek,slavonia,64,128,quote,eight,64\n\
         b,w1,r2,osijek,slavonija,64,128,quote,8,64\n\
         c,w2\n",
    );
    let outputs = [columns, cells].map(|file| {
        let output = run(&["inventory", "import", &file, "--deployment", "tunelpokrov"]);
        output
            .all()
            .replace(&scratch.0.display().to_string(), "DIR")
    });
    insta::assert_snapshot!(outputs.join("\n\n"));
}
