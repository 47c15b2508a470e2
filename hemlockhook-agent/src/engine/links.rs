//! Links with entries: greeting, configuration, demand and grants.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hemlockhook_proto::v1;
use hemlockhook_schedule::{Demand, SlotAction};
use hemlockhook_types::{Incarnation, SHARD_COUNT, shard_of};

use super::{Action, Engine, LinkId, frames};

/// Bytes of results after which a further frame is begun.
const FRAME_BYTES: usize = 512 * 1024;

/// Time for an entry that holds grants to answer when they are asked back. One that says nothing is
/// paused or cut off: its link is closed, so that its grants are of use to others.
const RECALL_SILENCE: Duration = Duration::from_secs(1);

/// A link whose entry has introduced itself.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) entry: Incarnation,
    /// Frames not yet sent, in order.
    out: Vec<v1::AgentFrame>,
    /// Bytes of results in the last of them.
    out_bytes: usize,
    /// When grants were first asked back since the entry was last heard of.
    recalled_at: Option<Instant>,
}

impl Link {
    fn new(entry: Incarnation) -> Self {
        Self {
            entry,
            out: Vec::new(),
            out_bytes: 0,
            recalled_at: None,
        }
    }

    /// Returns when the entry counts as silent.
    fn silent_from(&self) -> Option<Instant> {
        self.recalled_at.map(|at| at + RECALL_SILENCE)
    }

    /// Returns the frame to add to. Nothing is added to a frame after a fence report, so that an
    /// entry sees results in the order of the reports whatever order it reads a frame in.
    fn frame(&mut self) -> &mut v1::AgentFrame {
        let is_open = |frame: &v1::AgentFrame| frame.reports.is_empty();
        if !self.out.last().is_some_and(is_open) || self.out_bytes >= FRAME_BYTES {
            self.out.push(v1::AgentFrame::default());
            self.out_bytes = 0;
        }
        self.out.last_mut().expect("a frame was just added")
    }

    pub(super) fn done(&mut self, done: v1::TaskDone) {
        let bytes = done.result.as_ref().map_or(0, |result| result.body.len());
        self.frame().done.push(done);
        self.out_bytes += bytes;
    }

    pub(super) fn refuse(&mut self, refusal: v1::Refusal) {
        self.frame().refusals.push(refusal);
    }

    pub(super) fn withdrawn(&mut self, withdrawn: v1::Withdrawn) {
        self.frame().withdrawn.push(withdrawn);
    }

    pub(super) fn adopted(&mut self, agent: Incarnation) {
        self.frame().adopted = Some(agent);
    }

    /// Hands over what this agent holds, in a frame of its own.
    pub(super) fn hand_over(&mut self, custody: v1::Custody) {
        self.frame().custody = Some(custody);
        self.out_bytes = FRAME_BYTES;
    }

    pub(super) fn report(&mut self, report: v1::FenceReport) {
        self.frame().reports.push(report);
    }

    pub(super) fn recall(&mut self, count: u32) {
        self.frame().recalled_grants += count;
    }

    pub(super) fn tell_leaving(&mut self, leaving: bool) {
        let frame = self.frame();
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
            // The link was replaced or closed, or never introduced itself.
            self.actions.push(Action::CloseLink { link: id });
            return;
        };
        link.recalled_at = None;
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
        // Starts come first: a fence report then counts them whatever their order on the wire was.
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
        if let Some(older) = self.by_entry.get(&hello.incarnation).copied() {
            self.drop_link(now, older);
            self.actions.push(Action::CloseLink { link: older });
        }
        self.links.insert(id, Link::new(hello.incarnation));
        self.by_entry.insert(hello.incarnation, id);
        self.slots.add_entry(now, hello.incarnation);
        self.say_hello(id);
    }

    /// Tells an entry what this agent is; repeated when it changes.
    fn say_hello(&mut self, id: LinkId) {
        let hello = self.hello();
        if let Some(link) = self.links.get_mut(&id) {
            link.frame().hello = Some(hello);
        }
    }

    fn answer_ping(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.frame().pong = true;
        }
    }

    pub(super) fn say_hello_to_all(&mut self) {
        let hello = self.hello();
        for link in self.links.values_mut() {
            link.frame().hello = Some(hello.clone());
        }
    }

    pub(super) fn on_link_down(&mut self, now: Instant, id: LinkId) {
        self.drop_link(now, id);
    }

    fn drop_link(&mut self, now: Instant, id: LinkId) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        if self.by_entry.get(&link.entry) == Some(&id) {
            self.by_entry.remove(&link.entry);
            self.slots.remove_entry(now, link.entry);
        }
    }

    pub(super) fn link_of(&mut self, entry: Incarnation) -> Option<&mut Link> {
        let id = self.by_entry.get(&entry)?;
        self.links.get_mut(id)
    }

    fn on_config(&mut self, now: Instant, id: LinkId, version: u64, config: Option<v1::Config>) {
        let told = config.as_ref().map_or(version, |config| config.version);
        let adopted = match config {
            Some(config) if !config.document.is_empty() => {
                self.config.adopt(config.version, &config.document)
            }
            _ => false,
        };
        if adopted {
            self.apply_config(now);
        } else if told > self.config_version() {
            // An empty frame tells the entry that the agent lacks that version.
            if let Some(link) = self.links.get_mut(&id) {
                link.frame();
            }
        }
    }

    /// Sends the configuration in force to an entry that asks for it.
    fn send_config(&mut self, id: LinkId) {
        let version = self.config_version();
        let document = self.config.document().to_owned();
        if let Some(link) = self.links.get_mut(&id) {
            link.frame().config = Some(v1::Config { version, document });
        }
    }

    /// Closes the links of entries that hold grants and do not answer when these are asked back.
    pub(super) fn close_silent_links(&mut self, now: Instant) {
        let is_due = |link: &Link| link.silent_from().is_some_and(|at| at <= now);
        let silent = self.links.iter().filter(|(_, link)| is_due(link));
        let silent: Vec<LinkId> = silent.map(|(id, _)| *id).collect();
        for id in silent {
            self.counters.silent_links += 1;
            self.drop_link(now, id);
            self.actions.push(Action::CloseLink { link: id });
        }
    }

    pub(super) fn next_silence(&self) -> Option<Instant> {
        self.links.values().filter_map(Link::silent_from).min()
    }

    pub(super) fn flush_grants(&mut self, now: Instant) {
        for action in self.slots.take_actions(now) {
            match action {
                SlotAction::Grant { entry, count } => {
                    if let Some(link) = self.link_of(entry) {
                        link.frame().grants += count;
                    }
                }
                SlotAction::Recall { entry, count } => {
                    if let Some(link) = self.link_of(entry) {
                        link.recalled_at.get_or_insert(now);
                        link.recall(count);
                    }
                }
            }
        }
    }

    pub(super) fn flush_links(&mut self) {
        let config_version = self.config_version();
        for (id, link) in &mut self.links {
            for mut frame in link.out.drain(..) {
                frame.config_version = config_version;
                self.counters.frames_sent += 1;
                let frame = Box::new(frame);
                self.actions.push(Action::SendFrame { link: *id, frame });
            }
        }
    }

    pub(super) fn granted(&self) -> u32 {
        let entries = self.by_entry.keys();
        entries
            .map(|entry| self.slots.outstanding_grants(*entry))
            .sum()
    }

    /// Counts the shards whose floor each entry holds.
    pub(super) fn floors(&self) -> BTreeMap<String, u16> {
        let mut floors = BTreeMap::new();
        for shard in 0..SHARD_COUNT {
            let owner = self.gate.floor(shard).owner;
            *floors.entry(format!("{owner:x}")).or_default() += 1;
        }
        floors
    }
}

/// Checks what a correct entry never gets wrong.
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
