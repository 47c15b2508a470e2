//! The simulated processes, which wrap owners and gates.

use std::time::Instant;

use hemlockhook_ownership::{Gate, GateConfig, Owner, OwnerConfig, Record, Rules};
use hemlockhook_types::{FIRST_OFFSET, Incarnation, JobKey, TaskIndex};

use super::{ANNOUNCE_INTERVAL, Append, FENCE_TIMEOUT, LEASE, WINDOW};

pub struct EntryProc {
    pub owner: Owner,
    /// Number of log records that were read or skipped.
    pub read: usize,
    /// Takeovers that are waiting for the log to be read to its end.
    pub reading: Vec<u64>,
    /// Tasks that are ready to start.
    pub queue: Vec<(JobKey, TaskIndex)>,
    /// Submissions that are waiting for a takeover.
    pub waiting: Vec<usize>,
    /// Submissions to process with the next read of the log or when the entry resumes.
    pub inbox: Vec<usize>,
    pub paused: bool,
}

impl EntryProc {
    pub fn new(rules: Rules, incarnation: Incarnation) -> Self {
        let cfg = OwnerConfig {
            window: WINDOW,
            max_jobs: 12,
            max_result_bytes: 250,
            fence_timeout: FENCE_TIMEOUT,
            account_wait: FENCE_TIMEOUT,
            lease: LEASE,
            announce_interval: ANNOUNCE_INTERVAL,
            rules,
        };
        Self {
            owner: Owner::new(cfg, incarnation),
            read: 0,
            reading: Vec::new(),
            queue: Vec::new(),
            waiting: Vec::new(),
            inbox: Vec::new(),
            paused: false,
        }
    }
}

/// An agent with its upstream.
pub struct AgentProc {
    pub gate: Gate,
    pub incarnation: Incarnation,
    pub agent_index: usize,
    pub read: usize,
    /// Send time of the announcement whose append is pending.
    pub announcing: Option<Instant>,
    pub announced: Option<Instant>,
    pub running: Vec<(JobKey, TaskIndex)>,
    pub leaving: bool,
    pub left: bool,
    pub paused: bool,
}

impl AgentProc {
    pub fn new(rules: Rules, incarnation: Incarnation, agent_index: usize) -> Self {
        let cfg = GateConfig {
            window: WINDOW,
            max_starts: 20,
            max_result_bytes: 60,
            lease: LEASE,
            announce_interval: ANNOUNCE_INTERVAL,
            rules,
        };
        Self {
            gate: Gate::new(cfg, incarnation),
            incarnation,
            agent_index,
            read: 0,
            announcing: None,
            announced: None,
            running: Vec::new(),
            leaving: false,
            left: false,
            paused: false,
        }
    }

    /// Returns the services of an agent. One of the services has a single agent.
    pub fn services(agent_index: usize) -> &'static [&'static str] {
        [&["quote", "hold"][..], &["quote"][..], &["quote"][..]][agent_index]
    }

    /// Returns the append of an announcement if one is due.
    pub fn announce(&mut self, now: Instant) -> Option<Append> {
        let is_due = self
            .announced
            .is_none_or(|at| now >= at + ANNOUNCE_INTERVAL / 2);
        if !is_due || self.announcing.is_some() || self.left {
            return None;
        }
        self.announcing = Some(now);
        let services = Self::services(self.agent_index);
        Some(Append {
            from: self.incarnation,
            takeover: 0,
            record: Record::Agent {
                incarnation: self.incarnation,
                name: format!("u{}", self.agent_index),
                address: format!("127.0.0.1:{}", self.agent_index),
                services: services.iter().map(|name| (*name).into()).collect(),
                data_center: "osijek".to_owned(),
            },
            sent: now,
        })
    }

    /// Handles the outcome of an append.
    pub fn on_append(&mut self, sent: Instant, ok: bool) {
        if self.announcing != Some(sent) {
            return;
        }
        self.announcing = None;
        if ok {
            self.announced = Some(sent);
            self.gate.on_announced(sent);
        }
    }

    /// Handles all records up to the end of the log, and joins if that is allowed.
    pub fn on_records(&mut self, began: Instant, from: usize, records: &[(Instant, Record)]) {
        for (offset, (written, record)) in (FIRST_OFFSET + from as u64..).zip(records) {
            self.gate.on_record(offset, *written - began, record);
        }
        if self.announced.is_some() && self.gate.may_join() {
            self.gate.join();
        }
    }
}
