//! `hemlockhook status`.

use std::collections::BTreeMap;

use hemlockhook_inventory::admin::{
    AgentStatus, BacklogStatus, EntryStatus, ShardState, UpstreamState,
};
use hemlockhook_types::SHARD_COUNT;
use serde_json::json;

use crate::cli::StatusArgs;
use crate::client::{Answered, Client, no_answer};
use crate::output::{Exit, Format, Table, dash, line, print_json, time, time_or_dash};

/// Prints what entries report, merged.
pub fn run(args: &StatusArgs) -> eyre::Result<Exit> {
    let answers =
        Client::start().get_all::<EntryStatus>(&args.entries.addresses()?, "/v1/status")?;
    let statuses: Vec<&EntryStatus> = answers
        .iter()
        .filter_map(|answered| answered.answer.as_ref().ok())
        .collect();
    let all_answer = statuses.len() == answers.len();

    match args.output {
        Format::Json => {
            let unreachable: Vec<String> = no_answer(&answers).lines().map(str::to_owned).collect();
            print_json(&json!({ "entries": statuses, "unreachable": unreachable }))?;
        }
        Format::Text => {
            print_entries(&answers);
            print_shards(&statuses);
            print_agents(&statuses);
            print_backlog(&statuses);
        }
    }
    Ok(match all_answer {
        true => Exit::Ok,
        false => Exit::Negative,
    })
}

fn print_entries(answers: &[Answered<EntryStatus>]) {
    let mut table = Table::new(&[
        "entry",
        "data center",
        "up",
        "config",
        "shards",
        "log",
        "state",
    ]);
    for answered in answers {
        table.row(match &answered.answer {
            Ok(status) => entry_row(status),
            Err(why) => {
                let mut row = vec![dash(); 7];
                row[0] = answered.address.to_string();
                row[6] = why.clone();
                row
            }
        });
    }
    table.print("entries");
}

fn entry_row(status: &EntryStatus) -> Vec<String> {
    let log = match (status.log.reachable, status.log.last_success_ms) {
        (true, _) => "up".to_owned(),
        (false, Some(ms)) => format!("down, last answer {} ago", time(ms)),
        (false, None) => "down, never answered".to_owned(),
    };
    let state = match status.draining {
        true => "shutting down",
        false => "up",
    };
    vec![
        status.name.clone(),
        status.data_center.clone(),
        time(status.uptime_ms),
        status.config_version.to_string(),
        status.shards.len().to_string(),
        log,
        state.to_owned(),
    ]
}

/// Prints how many shards stand where, and those that an operator may have to look at.
fn print_shards(statuses: &[&EntryStatus]) {
    let mut owners: BTreeMap<u16, Vec<&str>> = BTreeMap::new();
    let mut counts: BTreeMap<&'static str, usize> = BTreeMap::new();
    for (status, shard) in statuses
        .iter()
        .flat_map(|s| s.shards.iter().map(move |x| (s, x)))
    {
        owners.entry(shard.shard).or_default().push(&status.name);
        *counts.entry(shard.state.into()).or_default() += 1;
    }
    let missing = (0..SHARD_COUNT)
        .filter(|shard| !owners.contains_key(shard))
        .count();
    let counts: Vec<String> = counts
        .iter()
        .map(|(state, n)| format!("{n} {state}"))
        .collect();
    line!(
        "shards\n  {}; {missing} owned by no entry that answered",
        counts.join(", ")
    );

    for (shard, owners) in owners.iter().filter(|(_, owners)| owners.len() > 1) {
        line!("  shard {shard} is claimed by {}", owners.join(" and "));
    }
    for status in statuses {
        print_unsettled(status);
    }
}

/// Prints the shards of an entry whose account is not complete, together where they wait for the
/// same agents.
fn print_unsettled(status: &EntryStatus) {
    let mut groups: BTreeMap<(&'static str, &[String]), Vec<u16>> = BTreeMap::new();
    for shard in status
        .shards
        .iter()
        .filter(|s| s.state != ShardState::Complete)
    {
        let group = (shard.state.into(), shard.awaiting.as_slice());
        groups.entry(group).or_default().push(shard.shard);
    }
    for ((state, awaiting), shards) in groups {
        let awaiting = match awaiting.is_empty() {
            true => String::new(),
            false => format!(", awaiting {}", awaiting.join(", ")),
        };
        let shards: Vec<String> = shards.iter().map(u16::to_string).collect();
        line!(
            "  {state} at {}{awaiting}: {}",
            status.name,
            shards.join(" ")
        );
    }
}

fn print_agents(statuses: &[&EntryStatus]) {
    let mut table = Table::new(&[
        "upstream",
        "data center",
        "worker",
        "state",
        "running",
        "slots",
        "long",
        "slowness",
        "failing",
        "config",
        "why",
    ]);
    for agent in merge_agents(statuses).into_values() {
        table.row([
            agent.name,
            agent.data_center,
            agent.worker,
            agent.state.to_string(),
            agent.running.to_string(),
            agent.slots.to_string(),
            agent.running_long.to_string(),
            format!("{:.1}", agent.slowness),
            format!("{:.0}%", agent.failing * 100.0),
            agent.config_version.to_string(),
            agent.detail.unwrap_or_else(dash),
        ]);
    }
    table.print("upstreams");
}

/// Merges what several entries know of each agent: their tasks are summed up, and the rest is
/// taken from the entry that sees it in the state of most concern.
fn merge_agents(statuses: &[&EntryStatus]) -> BTreeMap<String, AgentStatus> {
    let mut merged: BTreeMap<String, AgentStatus> = BTreeMap::new();
    for agent in statuses.iter().flat_map(|status| &status.agents) {
        let Some(known) = merged.get_mut(&agent.name) else {
            merged.insert(agent.name.clone(), agent.clone());
            continue;
        };
        let running = known.running + agent.running;
        let running_long = known.running_long + agent.running_long;
        if concern(agent.state) > concern(known.state) {
            *known = agent.clone();
        }
        known.running = running;
        known.running_long = running_long;
    }
    merged
}

/// Ranks states. That an entry has no link to an agent is of least concern while another has one.
fn concern(state: UpstreamState) -> u8 {
    match state {
        UpstreamState::Down => 0,
        UpstreamState::Up => 1,
        UpstreamState::SlowStart => 2,
        UpstreamState::Quarantined => 3,
        UpstreamState::Leaving => 4,
    }
}

fn print_backlog(statuses: &[&EntryStatus]) {
    let mut merged: BTreeMap<(&str, &str), BacklogStatus> = BTreeMap::new();
    for backlog in statuses.iter().flat_map(|status| &status.backlog) {
        let sum = merged.entry((&backlog.service, &backlog.team)).or_default();
        sum.jobs += backlog.jobs;
        sum.queued += backlog.queued;
        sum.queued_long += backlog.queued_long;
        sum.running += backlog.running;
        sum.oldest_ms = sum.oldest_ms.max(backlog.oldest_ms);
    }
    let mut table = Table::new(&[
        "service", "team", "jobs", "queued", "long", "running", "oldest",
    ]);
    for ((service, team), sum) in merged {
        let oldest = (sum.queued > 0).then_some(sum.oldest_ms);
        table.row([
            service.to_owned(),
            team.to_owned(),
            sum.jobs.to_string(),
            sum.queued.to_string(),
            sum.queued_long.to_string(),
            sum.running.to_string(),
            time_or_dash(oldest),
        ]);
    }
    table.print("backlog");
}
