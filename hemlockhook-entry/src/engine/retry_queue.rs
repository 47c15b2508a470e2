//! Submissions that wait: for an owner of their shard, or for an upstream.

use std::collections::{HashSet, VecDeque};

use hemlockhook_types::JobKey;

/// The keys of the submissions that wait, tried again in turn.
#[derive(Debug, Default)]
pub struct RetryQueue {
    /// May name keys that have been removed.
    order: VecDeque<JobKey>,
    keys: HashSet<JobKey>,
}

impl RetryQueue {
    /// Adds a key behind the others, unless it is there.
    pub fn insert(&mut self, key: &JobKey) {
        if self.keys.insert(key.clone()) {
            self.order.push_back(key.clone());
        }
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &JobKey) {
        self.keys.remove(key);
    }

    /// Takes the keys that have waited longest, at most `max`.
    pub fn take(&mut self, max: usize) -> Vec<JobKey> {
        let Self { order, keys } = self;
        let waiting = std::iter::from_fn(|| order.pop_front());
        waiting.filter(|key| keys.remove(key)).take(max).collect()
    }
}
