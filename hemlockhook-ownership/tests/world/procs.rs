//! The processes of the randomised tests: thin shells around owners and gates.

use std::time::Instant;

use hemlockhook_ownership::{Gate, GateConfig, Owner, OwnerConfig, Record, Rules};
use hemlockhook_types::{FIRST_OFFSET, Incarnation, JobKey, TaskIndex};

use super::{Append, FENCE_TIMEOUT, INTERVAL, LEASE, WINDOW};

/// An entry.
pub struct EntryProc {
    pub owner: Owner,
    /// Offset up to which the log was read.
    pub read: usize,
    /// Takeovers that wait for the log to be read to its end.
    pub reading: Vec<u64>,
    /// Tasks to start.
    pub queue: Vec<(JobKey, TaskIndex)>,
    /// Submissions that wait for a takeover.
    pub waiting: Vec<usize>,
    /// Submissions that came while the entry was paused.
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
            announce_interval: INTERVAL,
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
    pub place: usize,
    pub read: usize,
    /// When the append on its way was sent.
    pub announcing: Option<Instant>,
    pub announced: Option<Instant>,
    pub running: Vec<(JobKey, TaskIndex)>,
    pub leaving: bool,
    pub left: bool,
    pub paused: bool,
}

impl AgentProc {
    pub fn new(rules: Rules, incarnation: Incarnation, place: usize) -> Self {
        let cfg = GateConfig {
            window: WINDOW,
            max_starts: 20,
            max_result_bytes: 60,
            lease: LEASE,
            announce_interval: INTERVAL,
            rules,
        };
        Self {
            gate: Gate::new(cfg, incarnation),
            incarnation,
            place,
            read: 0,
            announcing: None,
            announced: None,
            running: Vec::new(),
            leaving: false,
            left: false,
            paused: false,
        }
    }

    /// Returns the services of the agent at a place; one of them has a single agent.
    pub fn services(place: usize) -> &'static [&'static str] {
        [&["quote", "hold"][..], &["quote"][..], &["quote"][..]][place]
    }

    /// Returns the announcement to append if one is due.
    pub fn announce(&mut self, now: Instant) -> Option<Append> {
        let is_due = self.announced.is_none_or(|at| now >= at + INTERVAL / 2);
        if !is_due || self.announcing.is_some() || self.left {
            return None;
        }
        self.announcing = Some(now);
        let services = Self::services(self.place);
        Some(Append {
            from: self.incarnation,
            takeover: 0,
            record: Record::Agent {
                incarnation: self.incarnation,
                name: format!("u{}", self.place),
                address: format!("127.0.0.1:{}", self.place),
                services: services.iter().map(|name| (*name).into()).collect(),
                data_center: "osijek".to_owned(),
            },
            sent: now,
        })
    }

    /// Takes in the outcome of an append.
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

    /// Takes in records that were read, and joins at the end of the log.
    pub fn on_records(&mut self, began: Instant, from: usize, records: &[(Instant, Record)]) {
        for (offset, (written, record)) in (FIRST_OFFSET + from as u64..).zip(records) {
            self.gate.on_record(offset, *written - began, record);
        }
        if self.announced.is_some() && self.gate.may_join() {
            self.gate.join();
        }
    }
}
