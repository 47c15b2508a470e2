//! `hemlockhook inventory`.

use std::fs;
use std::path::Path;

use hemlockhook_inventory::check::schema;
use hemlockhook_inventory::import::import;
use hemlockhook_inventory::{Inventory, Problem, check};
use serde_json::json;

use crate::cli::InventoryCommand;
use crate::output::{Exit, Format, out, outln, print_json, usage_error};

/// Runs `hemlockhook inventory`.
pub fn run(cmd: InventoryCommand) -> eyre::Result<Exit> {
    match cmd {
        InventoryCommand::Check { output, file } => check_file(&file, output),
        InventoryCommand::Import { deployment, file } => import_file(&deployment, &file),
        InventoryCommand::Schema => print_json(&schema()).map(|()| Exit::Ok),
    }
}

/// Reads a file as text.
pub fn read_file(file: &Path) -> eyre::Result<String> {
    fs::read_to_string(file).map_err(|e| usage_error(format!("{}: {e}", file.display())))
}

/// Prints problems with the file name first, the form in which editors recognise locations.
pub fn print_problems(file: &Path, problems: &[Problem]) {
    for problem in problems {
        eprintln!("{}:{problem}", file.display());
    }
    eprintln!("{} problems", problems.len());
}

fn check_file(file: &Path, format: Format) -> eyre::Result<Exit> {
    let result = check(&read_file(file)?);
    match (&result, format) {
        (_, Format::Json) => {
            let problems = result.as_ref().err().cloned().unwrap_or_default();
            print_json(&json!({ "file": file, "problems": problems }))?;
        }
        (Ok(inventory), Format::Text) => outln!("{}: {}", file.display(), summary(inventory)),
        (Err(problems), Format::Text) => print_problems(file, problems),
    }
    Ok(match result {
        Ok(_) => Exit::Ok,
        Err(_) => Exit::Negative,
    })
}

fn import_file(deployment: &str, file: &Path) -> eyre::Result<Exit> {
    match import(deployment, &read_file(file)?) {
        Ok(document) => {
            out!("{document}");
            Ok(Exit::Ok)
        }
        Err(problems) => {
            print_problems(file, &problems);
            Ok(Exit::Negative)
        }
    }
}

fn summary(inventory: &Inventory) -> String {
    format!(
        "valid: {} services, {} upstreams with {} slots on {} workers in {} data centers, {} teams",
        inventory.services.len(),
        inventory.upstreams.len(),
        inventory.total_slots(),
        inventory.workers.len(),
        inventory.data_centers.len(),
        inventory.teams.len(),
    )
}
