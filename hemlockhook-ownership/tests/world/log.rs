//! The simulated log.

use super::ENTRIES;
use hemlockhook_types::FIRST_OFFSET;

use super::World;
use super::steps::Outcome;

impl World {
    pub fn append(&mut self, append: usize, outcome: Outcome) {
        if self.appends.is_empty() {
            return;
        }
        let append = self.appends.remove(append % self.appends.len());
        let is_reachable = self.log_up && !self.is_partitioned(append.from);
        let is_stored = is_reachable && outcome != Outcome::Failed;
        if is_stored {
            self.log.push((self.now, append.record));
        }
        let ok = is_stored && outcome == Outcome::Done;
        let now = self.now;
        for agent in &mut self.agents {
            if agent.incarnation == append.from {
                agent.on_append(append.sent, ok);
            }
        }
        for entry in 0..ENTRIES {
            let owner = &mut self.entries[entry].owner;
            if owner.incarnation() != append.from {
                continue;
            }
            match ok {
                true => owner.on_appended(now, append.takeover),
                false => owner.on_append_failed(now, append.takeover),
            }
            self.run_actions(entry);
        }
    }

    pub fn read_entry(&mut self, entry: usize) {
        let proc = &mut self.entries[entry];
        if !self.log_up || proc.paused || self.partitioned.0 >> entry & 1 == 1 {
            return;
        }
        let now = self.now;
        let from = proc.read.max(self.first_retained);
        for (offset, (written, record)) in self.log.iter().enumerate().skip(from) {
            proc.owner
                .on_record(now, FIRST_OFFSET + offset as u64, now - *written, record);
        }
        proc.read = self.log.len();
        for takeover in std::mem::take(&mut proc.reading) {
            proc.owner.on_caught_up(now, takeover);
        }
        self.run_actions(entry);
        self.collect_stamps(entry);
        for number in std::mem::take(&mut self.entries[entry].inbox) {
            self.submit(entry, number);
        }
    }

    pub fn read_agent(&mut self, agent: usize) {
        let proc = &mut self.agents[agent];
        if !self.log_up || proc.paused || self.partitioned.1 >> agent & 1 == 1 {
            return;
        }
        let from = proc.read.max(self.first_retained);
        proc.on_records(self.began, from, &self.log[from..]);
        proc.read = self.log.len();
    }

    pub fn collect_stamps(&mut self, entry: usize) {
        for stamp in self.entries[entry].owner.owned_shards() {
            if !self.stamps.contains(&stamp) {
                self.stamps.push(stamp);
            }
        }
    }
}
