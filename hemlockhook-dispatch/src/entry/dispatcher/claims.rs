//! Claims to jobs: no task of a job is placed before the entry knows that no other entry has the job.
//!
//! A claim is made at the two linked agents that rank highest for the job's ID, and has to be granted by
//! both, or by the one that answers. So entries that know of different agents, or of which one has
//! lost an agent, still meet at one of them. An entry waits at one agent only with the claims that it
//! has at agents of higher rank, so that no two wait for each other.

use std::collections::HashSet;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Action, Dispatcher};
use crate::entry::agents::Agent;
use crate::entry::{AgentKey, Answer, JobKey};
use crate::{Claim, ClaimAnswer, ClaimChange, ClaimStatus, JobId, TaskRef};

/// Number of agents at which a job is claimed.
const ARBITERS: usize = 2;

/// Multiple of the time after which an agent is lost for which an entry with one agent left waits for
/// another. Cuts of a few seconds are over by then.
const AWAITED_FACTOR: u32 = 4;

/// The claims of a job.
#[derive(Debug, Default)]
pub(in crate::entry) struct JobClaims {
    /// Whether tasks may be placed.
    pub(in crate::entry) is_held: bool,
    /// In the order in which agents rank for the job.
    at: Vec<ClaimAt>,
}

#[derive(Debug)]
struct ClaimAt {
    agent: AgentKey,
    number: u64,
    rank: u64,
    state: ClaimState,
    was_granted: bool,
    /// Whether another entry waits for the end of the claim.
    is_contested: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimState {
    /// The agent was asked at that time.
    Asked(Instant),
    /// The agent did not answer in time.
    Unanswered,
    Granted,
    /// Another entry has an earlier claim.
    Waiting,
}

/// A job that the entry no longer has, with attempts that were cancelled and have not ended.
#[derive(Debug)]
pub(super) struct EndingJob {
    attempts: HashSet<(AgentKey, TaskRef)>,
    /// When the attempts have certainly ended.
    until: Instant,
    /// Agents at which another entry waits for the end of a claim, with its number.
    contested_at: Vec<(AgentKey, u64)>,
}

impl EndingJob {
    pub(super) fn new(
        claims: &JobClaims,
        attempts: HashSet<(AgentKey, TaskRef)>,
        until: Instant,
    ) -> Self {
        let contested = claims.at.iter().filter(|claim| claim.is_contested);
        Self {
            attempts,
            until,
            contested_at: contested.map(|claim| (claim.agent, claim.number)).collect(),
        }
    }

    /// Adds what the job left behind when it was submitted here again.
    fn merge(&mut self, other: Self) {
        self.attempts.extend(other.attempts);
        self.until = self.until.max(other.until);
        self.contested_at.extend(other.contested_at);
    }
}

impl ClaimAt {
    fn new(now: Instant, agent: AgentKey, number: u64, rank: u64) -> Self {
        Self {
            agent,
            number,
            rank,
            state: ClaimState::Asked(now),
            was_granted: false,
            is_contested: false,
        }
    }
}

impl JobClaims {
    fn find(&mut self, agent: AgentKey) -> Option<&mut ClaimAt> {
        self.at.iter_mut().find(|claim| claim.agent == agent)
    }

    /// Returns the agents at which the job is claimed, with the numbers of the claims.
    pub(super) fn made(&self) -> Vec<(AgentKey, u64)> {
        let claims = self.at.iter();
        claims.map(|claim| (claim.agent, claim.number)).collect()
    }

    /// Returns whether a claim is granted.
    fn has_grant(&self) -> bool {
        self.at
            .iter()
            .any(|claim| claim.state == ClaimState::Granted)
    }

    /// Returns whether the job is another entry's by what an agent has told, where it has to wait.
    ///
    /// Where the claim was granted before, the entry was silent for so long that it was given to
    /// another; a grant elsewhere still counts. Where it never was, the other entry has the job by the
    /// agents of higher rank.
    fn has_lost(&self, agent: AgentKey) -> bool {
        let is_granted = |claim: &&ClaimAt| claim.state == ClaimState::Granted;
        let Some(granted) = self.at.iter().find(is_granted) else {
            return true;
        };
        let is_first = |claim: &ClaimAt| !claim.was_granted && claim.rank > granted.rank;
        let told = self.at.iter().find(|claim| claim.agent == agent);
        told.is_some_and(is_first)
    }

    /// Returns whether the claim is granted by all agents that answer.
    fn is_granted(&self) -> bool {
        let is_settled =
            |claim: &ClaimAt| matches!(claim.state, ClaimState::Granted | ClaimState::Unanswered);
        self.has_grant() && self.at.iter().all(is_settled)
    }

    /// Returns the rank of the first agent at which another entry has an earlier claim.
    pub(in crate::entry) fn waits_at(&self) -> Option<u64> {
        let mut claims = self.at.iter();
        let first = claims.find(|claim| claim.state == ClaimState::Waiting)?;
        Some(first.rank)
    }
}

impl Dispatcher {
    /// Handles an agent's answer to a claim.
    pub fn claim_answered(&mut self, now: Instant, agent: AgentKey, answer: &ClaimAnswer) {
        if let Some(agent) = self.agents.get_mut(agent) {
            agent.is_claim_unanswered = false;
        }
        let key = self.by_id.get(&answer.job).copied();
        let claim = key.and_then(|key| self.jobs[key].claims.find(agent));
        let claim = claim.filter(|claim| claim.number == answer.number);
        let Some((key, claim)) = key.zip(claim) else {
            return self.unknown_claim_answered(agent, answer);
        };
        match answer.status {
            ClaimStatus::Granted => {
                claim.state = ClaimState::Granted;
                claim.was_granted = true;
            }
            ClaimStatus::Waiting => claim.state = ClaimState::Waiting,
            ClaimStatus::Cancelled => {
                self.answer(now, key, Answer::Cancelled);
                return self.place_queued(now);
            }
            ClaimStatus::Contested => {
                claim.is_contested = true;
                self.actions.push(Action::CheckCaller(key));
                return;
            }
        }
        if answer.status == ClaimStatus::Waiting {
            claim.is_contested = false;
            let job = &mut self.jobs[key];
            if job.claims.is_held && job.claims.has_lost(agent) {
                job.claims.is_held = false;
                if job.placed > 0 {
                    return self.answer(now, key, Answer::TimedOut);
                }
            }
            if !job.claims.is_held {
                self.withdraw_later_claims(key);
            }
        }
        self.hold_if_granted(now, key);
        self.place_queued(now);
    }

    /// Handles an answer to a claim that the entry does not make any longer.
    fn unknown_claim_answered(&mut self, agent: AgentKey, answer: &ClaimAnswer) {
        self.release(&answer.job, agent, answer.number);
    }

    /// Gives up the claims at agents that rank after the first one at which the job has to wait.
    fn withdraw_later_claims(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let Some(rank) = job.claims.waits_at() else {
            return;
        };
        let id = job.spec.id.clone();
        let is_later = |claim: &ClaimAt| claim.rank < rank;
        let first_later = job.claims.at.iter().position(is_later);
        let later = job
            .claims
            .at
            .split_off(first_later.unwrap_or(job.claims.at.len()));
        for claim in later {
            self.release(&id, claim.agent, claim.number);
        }
    }

    /// Releases a claim, once nothing that was ordered for the job before can run.
    fn release(&mut self, id: &JobId, agent: AgentKey, number: u64) {
        match self.ending.get_mut(id) {
            Some(ending) => ending.contested_at.push((agent, number)),
            None => self.change_claim(agent, id, number, ClaimChange::Released),
        }
    }

    /// Lets the tasks of a job be placed if its claim is granted. They are placed with the next event,
    /// since the report that is being handled may have to be reconciled first.
    fn hold_if_granted(&mut self, now: Instant, key: JobKey) {
        if self.jobs[key].claims.is_held {
            return;
        }
        if self.jobs[key].claims.at.len() < ARBITERS {
            // What was withdrawn while the job waited is claimed again.
            self.claim(now, key);
        }
        let awaits_agents = self.awaits_agents(now);
        let job = &mut self.jobs[key];
        let is_alone = job.claims.at.len() < ARBITERS && awaits_agents;
        if is_alone || self.ending.contains_key(&job.spec.id) || !job.claims.is_granted() {
            return;
        }
        job.claims.is_held = true;
    }

    /// Claims a job at the agents that rank highest for it, where it has not been claimed yet.
    pub(super) fn claim(&mut self, now: Instant, key: JobKey) {
        if !self.policy.rules.claims_jobs {
            self.jobs[key].claims.is_held = true;
            return;
        }
        let ranked = self.arbiters(&self.jobs[key].spec.id);
        let claims = &mut self.jobs[key].claims;
        let waits_at = claims.waits_at().filter(|_| !claims.is_held).unwrap_or(0);
        let mut made = Vec::new();
        for (rank, agent) in ranked.into_iter().flatten() {
            match claims.find(agent) {
                Some(claim) if claim.state == ClaimState::Unanswered => {
                    claim.state = ClaimState::Asked(now);
                    made.push(agent);
                }
                None if rank > waits_at => {
                    let is_later = |claim: &ClaimAt| claim.rank < rank;
                    let index = claims.at.iter().position(is_later);
                    let index = index.unwrap_or(claims.at.len());
                    self.claims += 1;
                    let claim = ClaimAt::new(now, agent, self.claims, rank);
                    claims.at.insert(index, claim);
                    made.push(agent);
                }
                _ => {}
            }
        }
        for agent in made {
            self.make_claim(now, key, agent);
        }
    }

    /// Returns whether the entry has lost the links of all agents but one so recently that other entries may
    /// still claim jobs at those.
    fn awaits_agents(&self, now: Instant) -> bool {
        let limit = AWAITED_FACTOR * self.policy.agent_lost_after;
        self.last_arbiters
            .is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// Notes whether enough agents are linked for claims.
    pub(super) fn note_arbiters(&mut self, now: Instant) {
        let linked = self.agents.values().filter(|agent| agent.is_linked);
        if linked.take(ARBITERS).count() == ARBITERS {
            self.last_arbiters = Some(now);
        }
    }

    /// Returns the agents that rank highest for a job, highest first.
    fn arbiters(&self, id: &JobId) -> [Option<(u64, AgentKey)>; ARBITERS] {
        let mut best = [None; ARBITERS];
        for (key, agent) in &self.agents {
            if !agent.is_linked || agent.is_claim_unanswered {
                continue;
            }
            let ranked = Some((rank(agent, id), key));
            if ranked > best[0] {
                best = [ranked, best[0]];
            } else if ranked > best[1] {
                best[1] = ranked;
            }
        }
        best
    }

    /// Makes a claim at an agent, or makes it once more.
    fn make_claim(&mut self, now: Instant, key: JobKey, agent: AgentKey) {
        let lost_after = self.policy.agent_lost_after;
        let job = &mut self.jobs[key];
        let hold = job.deadline.saturating_duration_since(now) + 2 * lost_after;
        let id = job.spec.id.clone();
        let Some(claim) = job.claims.find(agent) else {
            return;
        };
        let number = claim.number;
        self.change_claim(agent, &id, number, ClaimChange::Made { hold });
    }

    pub(super) fn change_claim(
        &mut self,
        agent: AgentKey,
        id: &JobId,
        number: u64,
        change: ClaimChange,
    ) {
        let claim = Claim {
            job: id.clone(),
            number,
            change,
        };
        self.actions.push(Action::Claim(agent, claim));
    }

    /// Claims jobs at an agent that has linked: frames may have been lost with its last link.
    pub(super) fn claim_at_linked(&mut self, now: Instant, agent: AgentKey) {
        for key in self.jobs.keys().collect::<Vec<_>>() {
            let rank = rank(&self.agents[agent], &self.jobs[key].spec.id);
            let claims = &mut self.jobs[key].claims;
            if claims.find(agent).is_some() {
                self.make_claim(now, key, agent);
            } else if claims.at.get(1).is_none_or(|second| second.rank < rank) {
                self.claim(now, key);
            }
        }
    }

    /// Claims the jobs elsewhere whose claims were at an agent that is lost.
    pub(super) fn claim_at_others(&mut self, now: Instant, lost: AgentKey) {
        for key in self.jobs.keys().collect::<Vec<_>>() {
            let claims = &mut self.jobs[key].claims;
            let count = claims.at.len();
            claims.at.retain(|claim| claim.agent != lost);
            if claims.at.len() < count {
                // Other entries may be granted what the lost agents knew.
                claims.is_held &= claims.has_grant();
                self.claim(now, key);
                self.hold_if_granted(now, key);
            }
        }
    }

    /// Claims the jobs elsewhere, too, whose claims are at an agent whose link has ended.
    pub(super) fn claim_beside(&mut self, now: Instant, unlinked: AgentKey) {
        for key in self.jobs.keys().collect::<Vec<_>>() {
            if self.jobs[key].claims.find(unlinked).is_some() {
                self.claim(now, key);
            }
        }
    }

    /// Restarts the time within which agents have to answer claims.
    fn ask_again(&mut self, now: Instant) {
        for job in self.jobs.values_mut() {
            for claim in &mut job.claims.at {
                if let ClaimState::Asked(at) = &mut claim.state {
                    *at = now;
                }
            }
        }
    }

    /// Has the next agent decide where one does not answer a claim, and forgets jobs that have ended.
    pub(super) fn settle_claims(&mut self, now: Instant) {
        let timeout = self.policy.claim_timeout;
        let since_last = self
            .claims_settled
            .map(|at| now.saturating_duration_since(at));
        self.claims_settled = Some(now);
        if since_last.is_none_or(|since| since >= timeout) {
            // This process may have stood still, and not the agents.
            self.ask_again(now);
        }
        let is_late = |claim: &ClaimAt| {
            let asked = |at| now.saturating_duration_since(at) >= timeout;
            matches!(claim.state, ClaimState::Asked(at) if asked(at))
        };
        for key in self.jobs.keys().collect::<Vec<_>>() {
            let claims = &mut self.jobs[key].claims;
            if claims.is_held {
                continue;
            }
            let late = claims.at.iter_mut().filter(|claim| is_late(claim));
            let late: Vec<_> = late
                .map(|claim| {
                    claim.state = ClaimState::Unanswered;
                    claim.agent
                })
                .collect();
            if late.is_empty() && claims.has_grant() && claims.at.len() >= ARBITERS {
                continue;
            }
            for agent in late {
                self.agents[agent].is_claim_unanswered = true;
            }
            // The next agents in rank take the place of silent ones.
            self.claim(now, key);
            self.hold_if_granted(now, key);
        }
        let is_over = |ending: &EndingJob| ending.until <= now;
        let over = self.ending.iter().filter(|(_, ending)| is_over(ending));
        for id in over.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.job_ended(now, &id);
        }
    }

    /// Handles the end of an attempt of a job that the entry no longer has.
    pub(super) fn cancelled_attempt_ended(
        &mut self,
        now: Instant,
        agent: AgentKey,
        task: &TaskRef,
    ) {
        let Some(ending) = self.ending.get_mut(&task.task.job) else {
            return;
        };
        ending.attempts.remove(&(agent, task.clone()));
        if ending.attempts.is_empty() {
            self.job_ended(now, &task.task.job);
        }
    }

    /// Releases the claims to a job of which nothing runs any longer, where others wait for it.
    fn job_ended(&mut self, now: Instant, id: &JobId) {
        let Some(ending) = self.ending.remove(id) else {
            return;
        };
        let known = self.by_id.get(id).copied();
        for (agent, number) in ending.contested_at {
            self.change_claim(agent, id, number, ClaimChange::Released);
        }
        if let Some(key) = known {
            self.hold_if_granted(now, key);
        }
    }

    /// Notes a removed job whose attempts have yet to end, or releases its claims where others wait.
    pub(super) fn end_claims(&mut self, id: &JobId, ending: EndingJob) {
        match ending.attempts.is_empty() {
            false => match self.ending.get_mut(id) {
                Some(known) => known.merge(ending),
                None => _ = self.ending.insert(id.clone(), ending),
            },
            true => {
                for (agent, number) in ending.contested_at {
                    self.release(id, agent, number);
                }
            }
        }
    }
}

/// Returns the rank of an agent among those at which a job is claimed. It is the same for all entries.
fn rank(agent: &Agent, job: &JobId) -> u64 {
    xxh3_64_with_seed(job.as_bytes(), agent.incarnation)
}
