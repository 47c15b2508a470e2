//! An engine with fake agents, entries and log around it.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use hemlockhook_entry::engine::{Engine, Identity};
use hemlockhook_entry::event::{Action, Event, Origin, Response, Submission};
use hemlockhook_entry::request::parse_job;
use hemlockhook_entry::settings::{Limits, Memory, Timing};
use hemlockhook_inventory::ConfigRecord;
use hemlockhook_ownership::Record;
use hemlockhook_proto::convert::Reply;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::{AgentFrame, AgentHello, EntryFrame};
use hemlockhook_types::{FIRST_OFFSET, Incarnation, StampTable};

/// Incarnation of the entry under test.
pub const ME: Incarnation = 1;

/// Incarnation of the agent of the fake upstream.
pub const AGENT: Incarnation = 2;

/// Time that passes with each tick.
const TICK: Duration = Duration::from_millis(20);

/// An engine, its time, and what it asked for and is not done yet.
pub struct Bench {
    pub engine: Engine,
    pub now: Instant,
    pub actions: Vec<Action>,
}

impl Bench {
    /// Creates an engine that has read an empty log and knows the inventory.
    pub fn new() -> Self {
        let now = Instant::now();
        let me = Identity {
            incarnation: ME,
            name: "entry".to_owned(),
            data_center: "osijek".to_owned(),
            address: "127.0.0.1:1".parse().expect("an address"),
            known_peers: Vec::new(),
            started_ms: 0,
        };
        let engine = Engine::new(me, Timing::default(), &Memory::default(), now);
        let mut bench = Self {
            engine,
            now,
            actions: Vec::new(),
        };
        let config = ConfigRecord {
            change_id: "first".to_owned(),
            document: include_str!("../../../inventories/tunelpokrov.yaml").to_owned(),
            ..ConfigRecord::default()
        };
        bench.event(Event::ConfigRecords(vec![(
            FIRST_OFFSET,
            config.to_bytes().into(),
        )]));
        bench
    }

    /// Creates an engine that owns every shard and is linked to one agent with free slots.
    pub fn serving() -> Self {
        let mut bench = Self::new();
        let agent = Record::Agent {
            incarnation: AGENT,
            name: "orders-os-1".to_owned(),
            address: "127.0.0.1:2".to_owned(),
            services: vec!["quote".into(), "booking".into()],
            data_center: "osijek".to_owned(),
        };
        let records = vec![(FIRST_OFFSET, Duration::ZERO, agent)];
        bench.event(Event::LogReachable(true));
        bench.event(Event::MembershipRecords {
            records,
            at_end: true,
        });
        bench.event(Event::LinkUp {
            agent: AGENT,
            hello: hello(),
        });
        bench.run_for(Duration::from_secs(1));
        bench.frame(AgentFrame {
            grants: 4,
            ..AgentFrame::default()
        });
        bench
    }

    /// Takes an event in and answers what the log and the agent's fence are asked for.
    pub fn event(&mut self, event: Event) {
        self.engine.handle(self.now, event);
        for action in self.engine.decide(self.now) {
            self.answer(action);
        }
    }

    /// Takes in a frame of the agent's.
    pub fn frame(&mut self, frame: AgentFrame) {
        self.event(Event::LinkFrame {
            agent: AGENT,
            frame,
        });
    }

    /// Lets time pass, with pings answered.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.event(Event::Tick);
        }
    }

    /// Submits a job of tasks with these payloads.
    pub fn submit(&mut self, key: &str, service: &str, payloads: &[&str]) -> Receiver<Response> {
        let (reply_to, rx) = async_channel::bounded(1);
        let submission = submission(key, service, payloads);
        self.event(Event::Submit {
            submission,
            origin: Origin::Caller,
            reply_to,
        });
        rx
    }

    /// Ends a task well.
    pub fn done(&mut self, key: &str, index: u32, body: &str) {
        let result = v1::TaskResult {
            kind: v1::task_result::Kind::Ok.into(),
            body: body.into(),
            ..v1::TaskResult::default()
        };
        let done = v1::TaskDone {
            key: key.to_owned(),
            index,
            result: Some(result),
        };
        self.frame(AgentFrame {
            done: vec![done],
            ..AgentFrame::default()
        });
    }

    /// Returns the frames sent to the agent since the last call.
    pub fn sent(&mut self) -> Vec<EntryFrame> {
        let actions = std::mem::take(&mut self.actions);
        let frames = actions.into_iter().filter_map(|action| match action {
            Action::SendFrame {
                agent: AGENT,
                frame,
            } => Some(*frame),
            _ => None,
        });
        frames.collect()
    }

    /// Returns the tasks started at the agent since the last call.
    pub fn starts(&mut self) -> Vec<(String, u32)> {
        let starts = self.sent().into_iter().flat_map(|frame| frame.starts);
        starts.map(|start| (start.key, start.index)).collect()
    }

    fn answer(&mut self, action: Action) {
        match action {
            Action::Reply { reply_to, response } => drop(reply_to.try_send(response)),
            Action::Append { takeover, record } => {
                let records = vec![(FIRST_OFFSET + 1, Duration::ZERO, record)];
                self.event(Event::MembershipRecords {
                    records,
                    at_end: true,
                });
                self.event(Event::Appended {
                    takeover,
                    confirmed: true,
                });
            }
            Action::ReadToEnd { takeover } => self.event(Event::CaughtUp { takeover }),
            Action::SendFrame { agent, frame } => {
                let reports: Vec<_> = frame.fences.iter().map(report).collect();
                let pong = frame.ping;
                self.actions.push(Action::SendFrame { agent, frame });
                if pong || !reports.is_empty() {
                    self.frame(AgentFrame {
                        reports,
                        pong,
                        ..AgentFrame::default()
                    });
                }
            }
            other => self.actions.push(other),
        }
    }
}

/// Returns a job's submission without a stamp.
pub fn submission(key: &str, service: &str, payloads: &[&str]) -> Submission {
    let tasks: Vec<_> = payloads
        .iter()
        .map(|payload| format!(r#"{{"payload":{payload}}}"#))
        .collect();
    let body = format!(
        r#"{{"team":"sales-desk","service":"{service}","deadline_ms":5000,"tasks":[{}]}}"#,
        tasks.join(",")
    );
    let job = parse_job(key, body.as_bytes(), &Limits::default()).expect("a valid job");
    Submission {
        job: Arc::new(job),
        body: body.into(),
        stamp: None,
    }
}

/// Returns the reply that a receiver got, if any.
pub fn reply(rx: &Receiver<Response>) -> Option<(Reply, Arc<StampTable>)> {
    match rx.try_recv() {
        Ok(Response::Job { reply, stamps }) => Some((reply, stamps)),
        _ => None,
    }
}

/// Returns what the agent says of itself.
pub fn hello() -> AgentHello {
    AgentHello {
        incarnation: AGENT,
        name: "orders-os-1".to_owned(),
        services: vec!["quote".to_owned(), "booking".to_owned()],
        slots: 8,
        config_version: FIRST_OFFSET,
        ..AgentHello::default()
    }
}

fn report(fence: &v1::Fence) -> v1::FenceReport {
    v1::FenceReport {
        takeover: fence.takeover,
        ..v1::FenceReport::default()
    }
}
