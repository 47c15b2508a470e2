//! A harness that runs an engine with a fake agent and log.

// Each test target uses only a part of the module.
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

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// An engine with its simulated time and the actions that the harness has not performed.
pub struct EngineHarness {
    pub engine: Engine,
    pub now: Instant,
    pub actions: Vec<Action>,
}

impl EngineHarness {
    /// Creates an engine that has an inventory in force and knows no agents or peers.
    pub fn new() -> Self {
        let now = Instant::now();
        let identity = Identity {
            incarnation: ME,
            name: "entry".to_owned(),
            data_center: "osijek".to_owned(),
            address: "127.0.0.1:1".parse().expect("an address"),
            known_peers: Vec::new(),
            started_ms: 0,
        };
        let engine = Engine::new(identity, Timing::default(), &Memory::default(), now);
        let mut harness = Self {
            engine,
            now,
            actions: Vec::new(),
        };
        let config = ConfigRecord {
            change_id: "first".to_owned(),
            document: include_str!("../../../inventories/tunelpokrov.yaml").to_owned(),
            ..ConfigRecord::default()
        };
        harness.handle(Event::ConfigRecords(vec![(
            FIRST_OFFSET,
            config.to_bytes().into(),
        )]));
        harness
    }

    /// Creates an engine that owns every shard and has a link to one agent with four grants.
    pub fn serving() -> Self {
        let mut harness = Self::new();
        let agent = Record::Agent {
            incarnation: AGENT,
            name: "orders-os-1".to_owned(),
            address: "127.0.0.1:2".to_owned(),
            services: vec!["quote".into(), "booking".into()],
            data_center: "osijek".to_owned(),
        };
        let records = vec![(FIRST_OFFSET, Duration::ZERO, agent)];
        harness.handle(Event::LogReachable(true));
        harness.handle(Event::MembershipRecords {
            records,
            at_end: true,
        });
        harness.handle(Event::LinkUp {
            agent: AGENT,
            hello: hello(),
        });
        harness.run_for(Duration::from_secs(1));
        harness.receive_frame(AgentFrame {
            grants: 4,
            ..AgentFrame::default()
        });
        harness
    }

    /// Processes an event, and performs the actions of the log and of the agent's fences and pings.
    pub fn handle(&mut self, event: Event) {
        self.engine.handle(self.now, event);
        for action in self.engine.decide(self.now) {
            self.process_action(action);
        }
    }

    /// Processes a frame from the agent.
    pub fn receive_frame(&mut self, frame: AgentFrame) {
        self.handle(Event::LinkFrame {
            agent: AGENT,
            frame,
        });
    }

    /// Advances the time with its ticks.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.handle(Event::Tick);
        }
    }

    /// Submits a job with a task for each payload.
    pub fn submit(&mut self, key: &str, service: &str, payloads: &[&str]) -> Receiver<Response> {
        let (reply_to, rx) = async_channel::bounded(1);
        let submission = submission(key, service, payloads);
        self.handle(Event::Submit {
            submission,
            origin: Origin::Caller,
            reply_to,
        });
        rx
    }

    /// Completes a task successfully.
    pub fn complete_task(&mut self, key: &str, index: u32, body: &str) {
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
        self.receive_frame(AgentFrame {
            done: vec![done],
            ..AgentFrame::default()
        });
    }

    /// Returns the frames sent to the agent since the last call.
    pub fn take_sent_frames(&mut self) -> Vec<EntryFrame> {
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
    pub fn take_starts(&mut self) -> Vec<(String, u32)> {
        let starts = self
            .take_sent_frames()
            .into_iter()
            .flat_map(|frame| frame.starts);
        starts.map(|start| (start.key, start.index)).collect()
    }

    fn process_action(&mut self, action: Action) {
        match action {
            Action::Reply { reply_to, response } => drop(reply_to.try_send(response)),
            Action::Append { takeover, record } => {
                let records = vec![(FIRST_OFFSET + 1, Duration::ZERO, record)];
                self.handle(Event::MembershipRecords {
                    records,
                    at_end: true,
                });
                self.handle(Event::Appended {
                    takeover,
                    confirmed: true,
                });
            }
            Action::ReadToEnd { takeover } => self.handle(Event::CaughtUp { takeover }),
            Action::SendFrame { agent, frame } => {
                let reports: Vec<_> = frame.fences.iter().map(fence_report).collect();
                let pong = frame.ping;
                self.actions.push(Action::SendFrame { agent, frame });
                if pong || !reports.is_empty() {
                    self.receive_frame(AgentFrame {
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

/// Returns the submission of a job without a stamp.
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

/// Returns the reply in a channel, if one has been sent.
pub fn try_reply(rx: &Receiver<Response>) -> Option<(Reply, Arc<StampTable>)> {
    match rx.try_recv() {
        Ok(Response::Job { reply, stamps }) => Some((reply, stamps)),
        _ => None,
    }
}

/// Returns the hello of the agent.
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

fn fence_report(fence: &v1::Fence) -> v1::FenceReport {
    v1::FenceReport {
        takeover: fence.takeover,
        ..v1::FenceReport::default()
    }
}
