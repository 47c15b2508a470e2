//! `hemlockhook job`.

use hemlockhook_inventory::admin::JobStatus;

use crate::cli::{Entries, JobCommand};
use crate::client::{Answered, Client, exit_of_unknown, no_answer};
use crate::output::{Exit, Format, Table, dash, failure, line, print_json, time, time_or_dash};

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
    let answers: Vec<Answered<JobStatus>> = Client::start().get_each(&addresses, &path);
    let found = answers
        .iter()
        .filter_map(|answered| answered.answer.as_ref().ok())
        .max_by_key(|status| status.tasks.len());

    let Some(status) = found else {
        let why = no_answer(&answers);
        return Err(failure(
            exit_of_unknown(&answers),
            format!("no entry knows the job {key}\n{why}"),
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
    line!("job      {}", status.key);
    line!("service  {}", status.service);
    line!("entry    {} (shard {})", status.entry, status.shard);
    line!("age      {}", time_or_dash(status.age_ms));
    line!("deadline {}", deadline(status.deadline_in_ms));
    line!("answer   {answer}");
    if let Some(detail) = &status.detail {
        line!("why      {detail}");
    }

    let mut table = Table::new(&["task", "state", "for", "upstream", "why"]);
    for task in &status.tasks {
        table.row([
            task.index.to_string(),
            task.state.to_string(),
            time_or_dash(task.for_ms),
            task.upstream.clone().unwrap_or_else(dash),
            task.detail.clone().unwrap_or_else(dash),
        ]);
    }
    table.print("tasks");
}

fn deadline(in_ms: Option<i64>) -> String {
    match in_ms {
        None => dash(),
        Some(ms) if ms < 0 => format!("passed {} ago", time(ms.unsigned_abs())),
        Some(ms) => format!("in {}", time(ms.unsigned_abs())),
    }
}
