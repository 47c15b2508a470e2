//! `hemlockhook job`.

use hemlockhook_inventory::admin::JobStatus;

use crate::cli::{Entries, JobCommand};
use crate::client::{Client, EntryReply, describe_failures, exit_code_of_failures};
use crate::output::{
    Exit, Format, Table, empty_cell, failure, format_ms, format_optional_ms, outln, print_json,
};

/// Runs `hemlockhook job`.
pub fn run(cmd: JobCommand) -> eyre::Result<Exit> {
    match cmd {
        JobCommand::Show {
            output,
            entries,
            key,
        } => show(&entries, &key, output),
    }
}

fn show(entries: &Entries, key: &str, format: Format) -> eyre::Result<Exit> {
    let addresses = entries.addresses()?;
    let path = format!("/v1/jobs/{}", key.replace('/', "%2F"));
    let replies: Vec<EntryReply<JobStatus>> = Client::start().get_each(&addresses, &path);
    let found = replies
        .iter()
        .filter_map(|reply| reply.result.as_ref().ok())
        .max_by_key(|status| status.tasks.len());

    let Some(status) = found else {
        let failures = describe_failures(&replies);
        return Err(failure(
            exit_code_of_failures(&replies),
            format!("no entry knows the job {key}\n{failures}"),
        ));
    };
    match format {
        Format::Json => print_json(status)?,
        Format::Text => print(status),
    }
    Ok(Exit::Ok)
}

fn print(status: &JobStatus) {
    let answer = match (status.answer, status.reason) {
        (Some(answer), Some(reason)) => format!("{answer} ({reason})"),
        (Some(answer), None) => answer.to_string(),
        (None, _) => "none yet".to_owned(),
    };
    outln!("job      {}", status.key);
    outln!("service  {}", status.service);
    outln!("entry    {} (shard {})", status.entry, status.shard);
    outln!("age      {}", format_optional_ms(status.age_ms));
    outln!("deadline {}", format_deadline(status.deadline_in_ms));
    outln!("answer   {answer}");
    if let Some(detail) = &status.detail {
        outln!("why      {detail}");
    }

    let mut table = Table::new(&["task", "state", "for", "upstream", "why"]);
    for task in &status.tasks {
        table.push_row([
            task.index.to_string(),
            task.state.to_string(),
            format_optional_ms(task.for_ms),
            task.upstream.clone().unwrap_or_else(empty_cell),
            task.detail.clone().unwrap_or_else(empty_cell),
        ]);
    }
    table.print("tasks");
}

fn format_deadline(in_ms: Option<i64>) -> String {
    match in_ms {
        None => empty_cell(),
        Some(ms) if ms < 0 => format!("passed {} ago", format_ms(ms.unsigned_abs())),
        Some(ms) => format!("in {}", format_ms(ms.unsigned_abs())),
    }
}
