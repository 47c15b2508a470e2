//! Checks that the system recovers after all faults have ended.

use hemlockhook_ownership::LookupResult;
use hemlockhook_types::Answer;

use super::{AGENTS, ANNOUNCE_INTERVAL, ENTRIES, SHARDS, World};

impl World {
    /// Ends all faults and checks that the system recovers: each shard has exactly one owner, no
    /// job is left pending and new jobs complete.
    pub fn heal(&mut self) {
        self.log_up = true;
        self.partitioned = (0, 0);
        for entry in 0..ENTRIES {
            self.pause_entry(entry, false);
        }
        for agent in 0..AGENTS {
            self.agents[agent].paused = false;
            if self.agents[agent].leaving {
                self.kill_agent(agent);
            }
        }
        self.connect_all();
        for agent in 0..AGENTS {
            while !self.agents[agent].running.is_empty() {
                self.finish(agent, 0, true);
            }
        }
        for (entry, agent) in (0..ENTRIES)
            .flat_map(|entry| self.ended.iter().map(move |agent| (entry, *agent)))
            .collect::<Vec<_>>()
        {
            self.entries[entry].owner.on_agent_lost(self.now, agent);
            self.run_actions(entry);
        }
        for round in 0..8 {
            self.pass_all_deadlines();
            self.advance(ANNOUNCE_INTERVAL);
            self.deliver_all();
            (0..ENTRIES).for_each(|entry| self.send_gossip(entry));
            while !self.gossip.is_empty() {
                self.receive_gossip(0);
            }
            for shard in SHARDS {
                if round >= 4 && self.owners(shard) == 0 {
                    self.take_over(0, 1 << shard);
                }
            }
            self.deliver_all();
        }
        for shard in SHARDS {
            let owners = self.owners(shard);
            assert!(owners == 1, "shard {shard} has {owners} owners");
        }
        self.check_answered();
        for _ in SHARDS {
            self.check_service();
        }
    }

    pub fn owners(&self, shard: u16) -> usize {
        let owners = self.entries.iter();
        owners
            .filter(|entry| entry.owner.stamp(shard).is_some())
            .count()
    }

    fn pass_all_deadlines(&mut self) {
        for entry in 0..ENTRIES {
            (0..self.submissions.len()).for_each(|job| self.pass_deadline(entry, job));
        }
    }

    /// Checks that no job waits for an answer that can no longer arrive.
    fn check_answered(&self) {
        for (entry, submission) in self.entries.iter().flat_map(|entry| {
            let submissions = self.submissions.iter();
            submissions.map(move |submission| (entry, submission))
        }) {
            let key = &submission.job.key;
            let found = entry.owner.look_up(key);
            assert!(found != LookupResult::Pending, "{key} is never answered");
        }
    }

    /// Checks that a new job completes.
    pub fn check_service(&mut self) {
        let number = self.new_job(1, 1);
        let shard = self.submissions[number].job.shard();
        let entry = (0..ENTRIES)
            .find(|entry| self.entries[*entry].owner.stamp(shard).is_some())
            .expect("the shard has an owner");
        self.submissions[number].stamp = self.entries[entry].owner.stamp(shard);
        let key = self.submissions[number].job.key.clone();
        self.submit(entry, number);
        for agent in 0..AGENTS {
            let queue = &self.entries[entry].queue;
            if let Some(task) = queue.iter().position(|(queued, _)| *queued == key) {
                self.dispatch(entry, task, agent);
            }
            self.deliver_all();
            let running = &self.agents[agent].running;
            if let Some(task) = running.iter().position(|(running, _)| *running == key) {
                self.finish(agent, task, true);
            }
            self.deliver_all();
        }
        let found = self.entries[entry].owner.look_up(&key);
        let answered = matches!(found, LookupResult::Answered(Answer::Complete(_)));
        assert!(answered, "the lookup of a new job returned {found:?}");
    }
}
