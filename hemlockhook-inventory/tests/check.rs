//! Tests of the validation of documents.

use googletest::prelude::*;
use hemlockhook_inventory::check::schema;
use hemlockhook_inventory::{Inventory, Rules, check};

const TUNELPOKROV: &str = include_str!("../../inventories/tunelpokrov.yaml");
const ASANTE: &str = include_str!("../../inventories/asante.yaml");
const FAULTY: &str = include_str!("data/faulty.yaml");

/// Returns the problems of a document, one per line.
fn problems(text: &str) -> String {
    match check(text) {
        Ok(_) => "none".to_owned(),
        Err(problems) => problems
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("\n"),
    }
}

fn parse_valid(text: &str) -> Inventory {
    check(text).expect("the document passes its check")
}

fn problems_after_edit(from: &str, to: &str) -> String {
    assert!(TUNELPOKROV.contains(from), "the inventory has no `{from}`");
    problems(&TUNELPOKROV.replacen(from, to, 1))
}

#[gtest]
fn the_inventories_of_both_deployments_are_valid() {
    for text in [TUNELPOKROV, ASANTE] {
        let inventory = parse_valid(text);
        expect_that!(inventory.workers, len(eq(11)));
        expect_that!(inventory.total_slots(), eq(88));
        expect_that!(inventory.data_centers, len(eq(3)));
        expect_that!(
            inventory.upstreams.iter().all(|u| u.connections == 64),
            eq(true)
        );
    }
}

#[gtest]
fn all_problems_are_reported_at_once() {
    insta::assert_snapshot!(problems(FAULTY));
}

#[gtest]
fn syntax_errors_have_a_position() {
    insta::assert_snapshot!(problems(
        "deployment: a\nworkers: [ { name: b }\nteams: 4\n"
    ));
}

#[gtest]
fn a_document_that_is_not_a_mapping_is_rejected() {
    expect_that!(problems("- a"), eq("1:1: expected a mapping"));
    expect_that!(problems(""), not(eq("none")));
}

#[gtest]
fn an_oversized_document_is_rejected() {
    let text = format!("{TUNELPOKROV}# {}\n", "x".repeat(1 << 20));
    expect_that!(
        problems(&text),
        contains_substring("more than the maximum of 1048576")
    );
}

#[gtest]
fn aliases_are_resolved() {
    let text = TUNELPOKROV
        .replacen(
            "services: [quote, stock-check, booking]",
            "services: &all [quote, stock-check, booking]",
            1,
        )
        .replace("services: [quote, stock-check, booking]", "services: *all");
    expect_that!(problems(&text), eq("none"));
}

#[gtest]
fn each_rule_is_checked() {
    let cases = [
        ("teams:", "rules: { long_after: 20s }\nteams:"),
        ("teams:", "rules: { long_ceiling_percent: 101 }\nteams:"),
        ("deadline: 15s", "deadline: 11m"),
        ("within: 2s", "within: 31s"),
        ("max_task_time: 20s", "max_task_time: 1h"),
        ("name: agronomists", "name: farm-buyers"),
        ("slots: 8", "slots: 1025"),
        ("slots: 8", "slots: 8.5"),
        ("slots: 8", "slots: null"),
        ("worker: os-1", "worker: [os-1]"),
    ];
    let results: Vec<String> = cases
        .iter()
        .map(|(from, to)| {
            format!(
                "{}\n    {}",
                to.trim(),
                problems_after_edit(from, to).replace('\n', "\n    ")
            )
        })
        .collect();
    insta::assert_snapshot!(results.join("\n"));
}

#[gtest]
fn rules_have_defaults() {
    expect_that!(parse_valid(TUNELPOKROV).rules, eq(&Rules::default()));
}

#[gtest]
fn an_inventory_round_trips_through_yaml() -> googletest::Result<()> {
    let inventory = parse_valid(TUNELPOKROV);
    let text = serde_saphyr::to_string(&inventory)?;
    expect_that!(parse_valid(&text), eq(&inventory));
    Ok(())
}

#[gtest]
fn the_schema_contains_every_section() {
    insta::assert_json_snapshot!(schema());
}
