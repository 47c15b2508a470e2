//! Test driver of an engine, and constructors of entries' frames.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlockhook_agent::{Action, Engine, EngineConfig, Event, LinkId, Stream, TaskId};
use hemlockhook_inventory::ConfigRecord;
use hemlockhook_ownership::{GateConfig, Record};
use hemlockhook_ports::{Batch, LogRecord};
use hemlockhook_proto::v1;
use hemlockhook_types::{Ballot, Incarnation, TaskOutcome, TaskResult, shard_of};

pub const AGENT: Incarnation = 77;
pub const SERVICE: &str = "quote";
pub const KEY: &str = "farms/job-1";

/// Difference between the ballot counters of consecutive takeovers. The low bits hold the epoch.
pub const COUNTER_PER_TAKEOVER: u64 = 1 << 16;

pub fn inventory(slots: u32, services: &str) -> String {
    format!(
        "deployment: test
data_centers: [{{ name: osijek, region: slavonia }}]
workers:
  - {{ name: os-1, rack: os-r1, data_center: osijek, processors: 8, memory_gb: 16 }}
services:
  - {{ name: quote, deadline: 10s, max_task_time: 5s, objective: {{ percent: 99.0, within: 1s }} }}
  - {{ name: stock, deadline: 10s, max_task_time: 5s, objective: {{ percent: 99.0, within: 1s }} }}
upstreams:
  - {{ name: desk-1, worker: os-1, services: [{services}], slots: {slots}, connections: 64 }}
  - {{ name: desk-2, worker: os-1, services: [quote, stock], slots: 1, connections: 64 }}
teams:
  - {{ name: farms }}
"
    )
}

/// An agent under test.
pub struct Agent {
    pub engine: Engine,
    pub now: Instant,
    start: Instant,
    /// Actions of the engine that the test has not taken yet.
    pub actions: Vec<Action>,
}

impl Agent {
    pub fn new() -> Self {
        let now = Instant::now();
        let cfg = EngineConfig {
            incarnation: AGENT,
            name: "desk-1".into(),
            data_center: "osijek".into(),
            address: "127.0.0.1:7001".to_owned(),
            gate: GateConfig::default(),
            drain_timeout: Duration::from_secs(30),
            announce_period: Duration::from_secs(60),
            config_read_period: Duration::from_secs(5),
        };
        let mut agent = Self {
            engine: Engine::new(now, cfg),
            now,
            start: now,
            actions: Vec::new(),
        };
        agent.poll();
        agent
    }

    /// Creates an agent that has joined, with two slots for the service `quote`.
    pub fn joined() -> Self {
        let mut agent = Self::new();
        agent.complete_read(Stream::Membership, 1, vec![]);
        agent.complete_read(Stream::Config, 1, vec![config(0, &inventory(2, SERVICE))]);
        agent.handle(Event::Appended);
        agent.complete_read(Stream::Membership, 1, vec![]);
        agent.actions.clear();
        agent
    }

    pub fn handle(&mut self, event: Event) {
        self.engine.handle(self.now, event);
        self.poll();
    }

    pub fn poll(&mut self) {
        self.actions.extend(self.engine.take_actions(self.now));
        // A wakeup that is not in the future would make the control thread spin.
        let wakeup = self.engine.next_wakeup();
        assert!(
            wakeup.is_none_or(|at| at > self.now),
            "wakeup is not in the future: {:?}",
            self.engine.status()
        );
    }

    pub fn advance(&mut self, by: Duration) {
        self.now += by;
        self.poll();
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Completes the read in flight with records from offset `from` on.
    pub fn complete_read(&mut self, stream: Stream, from: u64, bodies: Vec<Vec<u8>>) {
        let end = from + bodies.len() as u64;
        let records = bodies.into_iter().zip(from..);
        let batch = Batch {
            records: records
                .map(|(body, offset)| LogRecord {
                    offset,
                    appended_ms: 0,
                    body: Bytes::from(body),
                })
                .collect(),
            first_retained: 1,
            end,
        };
        self.handle(Event::Read { stream, batch });
    }

    /// Links an entry and drops the frames that the agent sends to it.
    pub fn link_entry(&mut self, link: LinkId, entry: Incarnation) {
        self.receive(link, hello(entry));
        self.actions.clear();
    }

    pub fn receive(&mut self, link: LinkId, frame: v1::EntryFrame) {
        let frame = Box::new(frame);
        self.handle(Event::Frame { link, frame });
    }

    pub fn end_task(&mut self, task: TaskId, outcome: TaskOutcome) {
        let result = TaskResult {
            outcome,
            run_time: Duration::from_millis(50),
        };
        self.handle(Event::TaskEnded { task, result });
    }

    /// Takes the tasks that the engine runs on the upstream.
    pub fn take_runs(&mut self) -> Vec<TaskId> {
        let runs = self
            .actions
            .extract_if(.., |a| matches!(a, Action::RunTask { .. }));
        runs.filter_map(|action| match action {
            Action::RunTask { task, .. } => Some(task),
            _ => None,
        })
        .collect()
    }

    /// Takes the frames sent on a link.
    pub fn take_frames(&mut self, to: LinkId) -> Vec<v1::AgentFrame> {
        let sent = self.actions.extract_if(
            ..,
            |a| matches!(a, Action::SendFrame { link, .. } if *link == to),
        );
        sent.filter_map(|action| match action {
            Action::SendFrame { frame, .. } => Some(*frame),
            _ => None,
        })
        .collect()
    }

    /// Takes the records that the engine appends.
    pub fn take_appends(&mut self) -> Vec<Record> {
        let appends = self
            .actions
            .extract_if(.., |a| matches!(a, Action::Append { .. }));
        appends
            .filter_map(|action| match action {
                Action::Append { body } => serde_json::from_slice(&body).ok(),
                _ => None,
            })
            .collect()
    }

    pub fn take_refusals(&mut self, link: LinkId) -> Vec<v1::refusal::Reason> {
        let frames = self.take_frames(link);
        let refusals = frames.iter().flat_map(|frame| &frame.refusals);
        refusals.map(|refusal| refusal.reason()).collect()
    }
}

pub fn config(base: u64, document: &str) -> Vec<u8> {
    let problems = hemlockhook_inventory::check(document).err();
    assert!(
        problems.is_none(),
        "inventory of the test is invalid: {problems:?}"
    );
    ConfigRecord {
        change_id: format!("change-{base}"),
        base,
        document: document.to_owned(),
        ..ConfigRecord::default()
    }
    .to_bytes()
}

pub fn record(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record has only string keys")
}

pub fn ballot(takeover: u64, owner: Incarnation) -> Ballot {
    Ballot {
        counter: takeover * COUNTER_PER_TAKEOVER,
        owner,
    }
}

pub fn hello(entry: Incarnation) -> v1::EntryFrame {
    v1::EntryFrame {
        hello: Some(v1::EntryHello {
            incarnation: entry,
            name: format!("entry-{entry}"),
            data_center: "osijek".to_owned(),
        }),
        ..v1::EntryFrame::default()
    }
}

/// Returns the start of a task of a job with four tasks, under the ballot of the first takeover.
pub fn start(key: &str, index: u32) -> v1::Start {
    v1::Start {
        key: key.to_owned(),
        index,
        job_tasks: 4,
        fingerprint: 1,
        shard: u32::from(shard_of(key)),
        ballot: COUNTER_PER_TAKEOVER,
        service: SERVICE.to_owned(),
        payload: b"{}".to_vec(),
        ..v1::Start::default()
    }
}

pub fn starts(starts: Vec<v1::Start>) -> v1::EntryFrame {
    v1::EntryFrame {
        starts,
        ..v1::EntryFrame::default()
    }
}

pub fn fence(key: &str, ballot: Ballot) -> v1::EntryFrame {
    v1::EntryFrame {
        fences: vec![v1::Fence {
            shards: vec![u32::from(shard_of(key))],
            ballot: Some(v1::Ballot {
                counter: ballot.counter,
                owner: ballot.owner,
            }),
            takeover: 9,
        }],
        ..v1::EntryFrame::default()
    }
}

pub fn cancel(key: &str) -> v1::EntryFrame {
    v1::EntryFrame {
        cancels: vec![v1::Cancel {
            key: key.to_owned(),
            indexes: vec![],
        }],
        ..v1::EntryFrame::default()
    }
}

pub fn returned(count: u32) -> v1::EntryFrame {
    v1::EntryFrame {
        returned_grants: count,
        ..v1::EntryFrame::default()
    }
}

pub fn custodian(agent: Incarnation) -> v1::EntryFrame {
    v1::EntryFrame {
        custodian: Some(agent),
        ..v1::EntryFrame::default()
    }
}

pub fn withdraw(key: &str) -> v1::EntryFrame {
    v1::EntryFrame {
        withdraws: vec![v1::Withdraw {
            job: Some(v1::WithdrawnJob {
                key: key.to_owned(),
                fingerprint: 1,
                shard: u32::from(shard_of(key)),
                service: SERVICE.to_owned(),
                reason: "deadline".to_owned(),
            }),
            ballot: COUNTER_PER_TAKEOVER,
        }],
        ..v1::EntryFrame::default()
    }
}

pub fn drain(leaving: bool) -> v1::EntryFrame {
    v1::EntryFrame {
        drain: Some(v1::Drain { leaving }),
        ..v1::EntryFrame::default()
    }
}

pub fn successful_outcome() -> TaskOutcome {
    TaskOutcome::Ok(b"done".as_slice().into())
}
