//! Counters of jobs and messages.

use hemlockhook_proto::v1::{AgentFrame, EntryFrame};
use hemlockhook_types::AnswerKind;
use serde::{Deserialize, Serialize};

/// Counters of jobs and messages since the start of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Jobs submitted to this entry, by callers or forwarded by other entries.
    pub submitted: u64,
    /// Jobs forwarded to other entries.
    pub forwarded: u64,
    /// Jobs answered complete.
    pub complete: u64,
    /// Jobs answered failed.
    pub failed: u64,
    /// Jobs answered not run.
    pub not_run: u64,
    /// Jobs answered with an unknown outcome.
    pub unknown: u64,
    /// Cancel requests applied to pending jobs.
    pub cancelled: u64,
    /// Tasks sent to agents.
    pub starts: u64,
    /// Results received from agents.
    pub results: u64,
    /// Starts refused by agents.
    pub refusals: u64,
    /// Grants and demand that were not sent along with results or starts, recalls, and returns.
    pub slot_messages: u64,
    /// Unused grants returned to agents.
    pub returned_grants: u64,
    /// Frames sent to and received from agents.
    pub frames: u64,
}

impl Counters {
    /// Counts a frame from an agent.
    pub fn on_agent_frame(&mut self, frame: &AgentFrame) {
        self.frames += 1;
        self.results += frame.done.len() as u64;
        self.refusals += frame.refusals.len() as u64;
        let piggybacked = !frame.done.is_empty();
        self.slot_messages += u64::from(frame.grants > 0 && !piggybacked);
        self.slot_messages += u64::from(frame.recalled_grants > 0);
    }

    /// Counts a frame to an agent.
    pub fn on_entry_frame(&mut self, frame: &EntryFrame) {
        self.frames += 1;
        self.returned_grants += u64::from(frame.returned_grants);
        let piggybacked = !frame.starts.is_empty();
        self.slot_messages += u64::from(frame.returned_grants > 0);
        self.slot_messages += u64::from(frame.demand.is_some() && !piggybacked);
    }

    /// Counts a job's answer.
    pub fn on_answer(&mut self, kind: AnswerKind) {
        match kind {
            AnswerKind::Complete => self.complete += 1,
            AnswerKind::Failed => self.failed += 1,
            AnswerKind::NotRun => self.not_run += 1,
            AnswerKind::Unknown => self.unknown += 1,
        }
    }

    /// Returns the number of messages between processes on behalf of tasks.
    pub fn messages(&self) -> u64 {
        self.starts + self.results + self.refusals + self.slot_messages + self.forwarded
    }
}
