//! `hemlockhook status`.

use std::collections::BTreeMap;

use hemlockhook_inventory::admin::{
    AgentStatus, BacklogStatus, EntryStatus, ShardState, UpstreamState,
};
use hemlockhook_types::SHARD_COUNT;
use serde_json::json;

use crate::cli::StatusArgs;
use crate::client::{Client, EntryReply, describe_failures};
use crate::output::{
    Exit, Format, Table, empty_cell, format_ms, format_optional_ms, outln, print_json,
};

/// Prints the merged status of the entries.
pub fn run(args: &StatusArgs) -> eyre::Result<Exit> {
    let replies =
        Client::start().get_all::<EntryStatus>(&args.entries.addresses()?, "/v1/status")?;
    let statuses: Vec<&EntryStatus> = replies
        .iter()
        .filter_map(|reply| reply.result.as_ref().ok())
        .collect();
    let all_responded = statuses.len() == replies.len();

    match args.output {
        Format::Json => {
            let unreachable: Vec<String> = describe_failures(&replies)
                .lines()
                .map(str::to_owned)
                .collect();
            print_json(&json!({ "entries": statuses, "unreachable": unreachable }))?;
        }
        Format::Text => {
            print_entries(&replies);
            print_shards(&statuses);
            print_agents(&statuses);
            print_backlog(&statuses);
        }
    }
    Ok(match all_responded {
        true => Exit::Ok,
        false => Exit::Negative,
    })
}

fn print_entries(replies: &[EntryReply<EntryStatus>]) {
    let mut table = Table::new(&[
        "entry",
        "data center",
        "up",
        "config",
        "shards",
        "log",
        "state",
    ]);
    for reply in replies {
        table.push_row(match &reply.result {
            Ok(status) => entry_row(status),
            Err(reason) => {
                let mut row = vec![empty_cell(); 7];
                row[0] = reply.address.to_string();
                row[6] = reason.clone();
                row
            }
        });
    }
    table.print("entries");
}

fn entry_row(status: &EntryStatus) -> Vec<String> {
    let log = match (status.log.reachable, status.log.last_success_ms) {
        (true, _) => "up".to_owned(),
        (false, Some(ms)) => format!("down, last response {} ago", format_ms(ms)),
        (false, None) => "down, no response yet".to_owned(),
    };
    let state = match status.draining {
        true => "shutting down",
        false => "up",
    };
    vec![
        status.name.clone(),
        status.data_center.clone(),
        format_ms(status.uptime_ms),
        status.config_version.to_string(),
        status.shards.len().to_string(),
        log,
        state.to_owned(),
    ]
}

/// Prints the number of shards in each state, and the shards that may need attention: those with
/// several owners, and those whose account is not complete.
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
    outln!(
        "shards\n  {}; {missing} not owned by any entry that responded",
        counts.join(", ")
    );

    for (shard, owners) in owners.iter().filter(|(_, owners)| owners.len() > 1) {
        outln!("  shard {shard} is claimed by {}", owners.join(" and "));
    }
    for status in statuses {
        print_incomplete_shards(status);
    }
}

/// Prints the shards of an entry whose account is not complete, grouped by state and by the agents
/// that they wait for.
fn print_incomplete_shards(status: &EntryStatus) {
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
        outln!(
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
        table.push_row([
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
            agent.detail.unwrap_or_else(empty_cell),
        ]);
    }
    table.print("upstreams");
}

/// Merges the status of each agent across entries: task counts are added up, and the rest is taken
/// from the entry that reports the most severe state.
fn merge_agents(statuses: &[&EntryStatus]) -> BTreeMap<String, AgentStatus> {
    let mut merged: BTreeMap<String, AgentStatus> = BTreeMap::new();
    for agent in statuses.iter().flat_map(|status| &status.agents) {
        let Some(known) = merged.get_mut(&agent.name) else {
            merged.insert(agent.name.clone(), agent.clone());
            continue;
        };
        let running = known.running + agent.running;
        let running_long = known.running_long + agent.running_long;
        if severity(agent.state) > severity(known.state) {
            *known = agent.clone();
        }
        known.running = running;
        known.running_long = running_long;
    }
    merged
}

/// Returns the severity rank of a state. [`UpstreamState::Down`] ranks lowest, because an entry
/// without a link to the agent doesn't matter while another entry has one.
fn severity(state: UpstreamState) -> u8 {
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
        table.push_row([
            service.to_owned(),
            team.to_owned(),
            sum.jobs.to_string(),
            sum.queued.to_string(),
            sum.queued_long.to_string(),
            sum.running.to_string(),
            format_optional_ms(oldest),
        ]);
    }
    table.print("backlog");
}
