//! Simulated entries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hemlockhook_dispatch::agent::{FrameHeader, LinkId, RunOrder};
use hemlockhook_dispatch::entry::{Action as EntryAction, AgentKey};
use hemlockhook_dispatch::{Claim, TaskRef};

use super::{EntryLink, Event, Frame, Orders, Process, World};

/// What a frame of an entry carries.
#[derive(Default)]
struct Contents {
    runs: Vec<RunOrder>,
    cancels: Vec<TaskRef>,
    claims: Vec<Claim>,
}

impl World {
    pub(super) fn flush_entry(&mut self, entry: usize) {
        let now = self.now;
        let mut frames: BTreeMap<usize, Contents> = BTreeMap::new();
        let mut woken = BTreeSet::new();
        let agent_of = |key: AgentKey, links: &BTreeMap<usize, EntryLink>| {
            links
                .iter()
                .find(|(_, link)| link.key == key)
                .map(|(agent, _)| *agent)
        };
        let mut answers = Vec::new();
        for action in self.take_entry_actions(entry) {
            let state = &mut self.entries[entry];
            match action {
                EntryAction::Run(order) => {
                    if let Some(agent) = agent_of(order.agent, &state.links) {
                        frames.entry(agent).or_default().runs.push(order.run);
                    }
                }
                EntryAction::Cancel(key, task, _) => {
                    if let Some(agent) = agent_of(key, &state.links) {
                        let frame = frames.entry(agent).or_default();
                        frame.runs.retain(|run| run.task != task);
                        frame.cancels.push(task);
                    }
                }
                EntryAction::Claim(key, claim) => {
                    if let Some(agent) = agent_of(key, &state.links) {
                        frames.entry(agent).or_default().claims.push(claim);
                    }
                }
                EntryAction::Wake(key) => {
                    if let Some(agent) = agent_of(key, &state.links) {
                        frames.entry(agent).or_default();
                        woken.insert(agent);
                    }
                }
                EntryAction::CheckCaller(_) => {}
                EntryAction::Answer(key, answer) => answers.push((key, answer)),
            }
        }
        let state = &mut self.entries[entry];
        let is_alive = state.dispatcher.are_callers_checked(now);
        if is_alive {
            for link in state.links.values_mut() {
                link.echoed = link.received;
            }
        }
        let links: Vec<_> = state
            .links
            .iter()
            .map(|(agent, link)| (*agent, *link))
            .collect();
        for (
            agent,
            EntryLink {
                key, link, echoed, ..
            },
        ) in links
        {
            let state = &mut self.entries[entry];
            let is_quiet = state
                .sent_at
                .get(&agent)
                .is_none_or(|at| now - *at > Duration::from_millis(40));
            let frame = frames.remove(&agent);
            if frame.is_none() && !is_quiet {
                continue;
            }
            state.sent_at.insert(agent, now);
            let Contents {
                runs,
                cancels,
                claims,
            } = frame.unwrap_or_default();
            let header = FrameHeader {
                seq: state.dispatcher.next_seq(key),
                echoed,
                state_interval: state.dispatcher.state_interval(),
                wants_state: woken.contains(&agent),
                demand_milli: state.dispatcher.take_demand(key),
            };
            let frame = Orders {
                header,
                runs,
                cancels,
                claims,
            };
            let agent_incarnation = self.agents[agent].incarnation;
            let delay = self.delay(Process::Entry(entry), Process::Agent(agent));
            let event = Event::ToAgent {
                agent,
                incarnation: agent_incarnation,
                link,
                frame,
            };
            self.push(delay, event);
        }
        for (key, answer) in answers {
            let Some((job, caller)) = self.entries[entry].jobs.remove(&key) else {
                continue;
            };
            self.answer(job, caller, &answer);
        }
    }

    pub(super) fn deliver_to_entry(
        &mut self,
        entry: usize,
        incarnation: u64,
        agent: usize,
        link: LinkId,
        frame: Frame,
    ) {
        let now = self.now;
        if let Some(delay) = self.frozen_ms(Process::Entry(entry)) {
            let event = Event::ToEntry {
                entry,
                incarnation,
                agent,
                link,
                report: frame,
            };
            return self.push(delay, event);
        }
        let state = &mut self.entries[entry];
        if !state.is_up || state.incarnation != incarnation {
            return;
        }
        let Some(known) = state
            .links
            .get_mut(&agent)
            .filter(|known| known.link == link)
        else {
            return;
        };
        let key = known.key;
        if let Some(report) = frame.report {
            known.received = known.received.max(frame.sent);
            state.dispatcher.reported(now, key, report);
        }
        for answer in &frame.claims {
            state.dispatcher.claim_answered(now, key, answer);
        }
        self.flush_entry(entry);
    }
}
