//! Links with entries: handshake, configuration, demand and grants.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hemlockhook_proto::v1;
use hemlockhook_schedule::{Demand, SlotAction};
use hemlockhook_types::{Incarnation, SHARD_COUNT, shard_of};

use super::{Action, Engine, LinkId, frames};

/// Size of the results in a frame, in bytes, at which the next result goes into a new frame.
const MAX_FRAME_RESULT_BYTES: usize = 512 * 1024;

/// Time for an entry to send a frame after its grants were recalled. A silent entry is paused or
/// unreachable, so its link is closed to free its grants for other entries.
const RECALL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A link whose entry has sent its hello.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) entry: Incarnation,
    /// Frames to send, in order.
    queued_frames: Vec<v1::AgentFrame>,
    /// Size of the results in the last queued frame, in bytes.
    last_frame_result_bytes: usize,
    /// Time of the first recall since the last frame from the entry.
    unanswered_recall_at: Option<Instant>,
}

impl Link {
    fn new(entry: Incarnation) -> Self {
        Self {
            entry,
            queued_frames: Vec::new(),
            last_frame_result_bytes: 0,
            unanswered_recall_at: None,
        }
    }

    /// Returns when the link is closed unless the entry sends a frame.
    fn silence_deadline(&self) -> Option<Instant> {
        self.unanswered_recall_at
            .map(|at| at + RECALL_RESPONSE_TIMEOUT)
    }

    /// Returns the frame to add messages to. Nothing is added to a frame that has a fence report: an
    /// entry must handle later results after the report, in whatever order it handles the parts of
    /// a frame.
    fn open_frame(&mut self) -> &mut v1::AgentFrame {
        let is_appendable = |frame: &v1::AgentFrame| frame.reports.is_empty();
        if !self.queued_frames.last().is_some_and(is_appendable)
            || self.last_frame_result_bytes >= MAX_FRAME_RESULT_BYTES
        {
            self.queued_frames.push(v1::AgentFrame::default());
            self.last_frame_result_bytes = 0;
        }
        self.queued_frames
            .last_mut()
            .expect("a frame was just added")
    }

    pub(super) fn add_result(&mut self, done: v1::TaskDone) {
        let bytes = done.result.as_ref().map_or(0, |result| result.body.len());
        self.open_frame().done.push(done);
        self.last_frame_result_bytes += bytes;
    }

    pub(super) fn add_refusal(&mut self, refusal: v1::Refusal) {
        self.open_frame().refusals.push(refusal);
    }

    pub(super) fn add_withdrawal_reply(&mut self, withdrawn: v1::Withdrawn) {
        self.open_frame().withdrawn.push(withdrawn);
    }

    pub(super) fn confirm_adoption(&mut self, agent: Incarnation) {
        self.open_frame().adopted = Some(agent);
    }

    /// Adds this agent's records, for another agent to adopt, and closes the frame to further
    /// messages.
    pub(super) fn add_custody(&mut self, custody: v1::Custody) {
        self.open_frame().custody = Some(custody);
        self.last_frame_result_bytes = MAX_FRAME_RESULT_BYTES;
    }

    pub(super) fn add_fence_report(&mut self, report: v1::FenceReport) {
        self.open_frame().reports.push(report);
    }

    pub(super) fn add_recall(&mut self, count: u32) {
        self.open_frame().recalled_grants += count;
    }

    pub(super) fn set_leaving(&mut self, leaving: bool) {
        let frame = self.open_frame();
        frame.leaving = leaving;
        frame.leaving_changed = true;
    }
}

impl Engine {
    pub(super) fn on_frame(&mut self, now: Instant, id: LinkId, mut frame: v1::EntryFrame) {
        if let Some(hello) = frame.hello.take() {
            self.on_hello(now, id, &hello);
        }
        let Some(link) = self.links.get_mut(&id) else {
            // The link was replaced or closed, or its entry has not sent a hello.
            self.actions.push(Action::CloseLink { link: id });
            return;
        };
        link.unanswered_recall_at = None;
        let entry = link.entry;
        if !is_well_formed(&frame) {
            self.counters.bad_frames += 1;
            self.drop_link(now, id);
            self.actions.push(Action::CloseLink { link: id });
            return;
        }

        self.counters.frames_received += 1;
        self.on_config(now, id, frame.config_version, frame.config);
        if frame.wants_config && frame.config_version < self.config_version() {
            self.send_config(id);
        }
        if let Some(drain) = frame.drain {
            self.on_drain(now, drain.leaving);
        }
        // Starts are handled before fences, so that a fence report covers the starts of its own
        // frame.
        for start in frame.starts {
            self.on_start(now, id, entry, start);
        }
        for cancel in frame.cancels {
            self.on_cancel(now, entry, &cancel);
        }
        for withdraw in frame.withdraws {
            self.on_withdraw(now, id, entry, withdraw);
        }
        for fence in frame.fences {
            self.on_fence(now, id, &fence);
        }
        if let Some(custody) = frame.custody {
            self.on_custody(now, id, custody);
        }
        if let Some(custodian) = frame.custodian {
            self.on_custodian(now, custodian);
        }
        if let Some(demand) = frame.demand {
            let demand = Demand {
                queued: demand.queued,
                head_urgency: demand.head_urgency,
                queued_long: demand.queued_long,
            };
            self.slots.set_demand(now, entry, demand);
        }
        if frame.returned_grants > 0 {
            self.slots.return_grants(now, entry, frame.returned_grants);
        }
        if frame.ping {
            self.answer_ping(id);
        }
    }

    fn on_hello(&mut self, now: Instant, id: LinkId, hello: &v1::EntryHello) {
        if self.links.contains_key(&id) || hello.incarnation == 0 {
            return;
        }
        if let Some(previous) = self.links_by_entry.get(&hello.incarnation).copied() {
            self.drop_link(now, previous);
            self.actions.push(Action::CloseLink { link: previous });
        }
        self.links.insert(id, Link::new(hello.incarnation));
        self.links_by_entry.insert(hello.incarnation, id);
        self.slots.add_entry(now, hello.incarnation);
        self.send_hello(id);
    }

    /// Sends the agent's hello, which is repeated whenever it changes.
    fn send_hello(&mut self, id: LinkId) {
        let hello = self.hello();
        if let Some(link) = self.links.get_mut(&id) {
            link.open_frame().hello = Some(hello);
        }
    }

    fn answer_ping(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.open_frame().pong = true;
        }
    }

    pub(super) fn send_hello_to_all(&mut self) {
        let hello = self.hello();
        for link in self.links.values_mut() {
            link.open_frame().hello = Some(hello.clone());
        }
    }

    pub(super) fn on_link_down(&mut self, now: Instant, id: LinkId) {
        self.drop_link(now, id);
    }

    fn drop_link(&mut self, now: Instant, id: LinkId) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        if self.links_by_entry.get(&link.entry) == Some(&id) {
            self.links_by_entry.remove(&link.entry);
            self.slots.remove_entry(now, link.entry);
        }
    }

    pub(super) fn link_of(&mut self, entry: Incarnation) -> Option<&mut Link> {
        let id = self.links_by_entry.get(&entry)?;
        self.links.get_mut(id)
    }

    fn on_config(&mut self, now: Instant, id: LinkId, version: u64, config: Option<v1::Config>) {
        let version_at_entry = config.as_ref().map_or(version, |config| config.version);
        let adopted = match config {
            Some(config) if !config.document.is_empty() => {
                self.config.adopt(config.version, &config.document)
            }
            _ => false,
        };
        if adopted {
            self.apply_config(now);
        } else if version_at_entry > self.config_version() {
            // Every frame has the agent's version, so an empty one shows the entry that the agent
            // lacks the newer version.
            if let Some(link) = self.links.get_mut(&id) {
                link.open_frame();
            }
        }
    }

    /// Sends the current configuration to an entry that requested it.
    fn send_config(&mut self, id: LinkId) {
        let version = self.config_version();
        let document = self.config.document().to_owned();
        if let Some(link) = self.links.get_mut(&id) {
            link.open_frame().config = Some(v1::Config { version, document });
        }
    }

    /// Closes the links of entries that stay silent after a recall of their grants.
    pub(super) fn close_silent_links(&mut self, now: Instant) {
        let is_due = |link: &Link| link.silence_deadline().is_some_and(|at| at <= now);
        let silent = self.links.iter().filter(|(_, link)| is_due(link));
        let silent: Vec<LinkId> = silent.map(|(id, _)| *id).collect();
        for id in silent {
            self.counters.silent_links += 1;
            self.drop_link(now, id);
            self.actions.push(Action::CloseLink { link: id });
        }
    }

    pub(super) fn next_silence_deadline(&self) -> Option<Instant> {
        self.links.values().filter_map(Link::silence_deadline).min()
    }

    pub(super) fn flush_grants(&mut self, now: Instant) {
        for action in self.slots.take_actions(now) {
            match action {
                SlotAction::Grant { entry, count } => {
                    if let Some(link) = self.link_of(entry) {
                        link.open_frame().grants += count;
                    }
                }
                SlotAction::Recall { entry, count } => {
                    if let Some(link) = self.link_of(entry) {
                        link.unanswered_recall_at.get_or_insert(now);
                        link.add_recall(count);
                    }
                }
            }
        }
    }

    pub(super) fn flush_links(&mut self) {
        let config_version = self.config_version();
        for (id, link) in &mut self.links {
            for mut frame in link.queued_frames.drain(..) {
                frame.config_version = config_version;
                self.counters.frames_sent += 1;
                let frame = Box::new(frame);
                self.actions.push(Action::SendFrame { link: *id, frame });
            }
        }
    }

    pub(super) fn outstanding_grants(&self) -> u32 {
        let entries = self.links_by_entry.keys();
        entries
            .map(|entry| self.slots.outstanding_grants(*entry))
            .sum()
    }

    /// Returns the number of shards by the entry that owns their floor.
    pub(super) fn shard_counts_by_owner(&self) -> BTreeMap<String, u16> {
        let mut floors = BTreeMap::new();
        for shard in 0..SHARD_COUNT {
            let owner = self.gate.floor(shard).owner;
            *floors.entry(format!("{owner:x}")).or_default() += 1;
        }
        floors
    }
}

/// Returns whether a frame is valid. A correct entry never sends an invalid one.
fn is_well_formed(frame: &v1::EntryFrame) -> bool {
    let is_shard = |shard: u32| shard < u32::from(SHARD_COUNT);
    let starts = frame.starts.iter().all(frames::is_well_formed_start);
    let fences = frame
        .fences
        .iter()
        .all(|fence| fence.ballot.is_some() && fence.shards.iter().all(|shard| is_shard(*shard)));
    let withdraws = frame.withdraws.iter().all(|withdraw| {
        let job = withdraw.job.as_ref();
        job.is_some_and(|job| u32::from(shard_of(&job.key)) == job.shard)
    });
    starts && fences && withdraws
}
