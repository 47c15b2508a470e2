//! A FIFO queue of jobs to retry: they lack an owner of their shard, or an upstream.

use std::collections::{HashSet, VecDeque};

use hemlockhook_types::JobKey;

/// A FIFO queue of distinct job keys.
#[derive(Debug, Default)]
pub struct RetryQueue {
    /// Keys in order of insertion, including removed ones.
    order: VecDeque<JobKey>,
    keys: HashSet<JobKey>,
}

impl RetryQueue {
    /// Appends a key unless the queue contains it.
    pub fn insert(&mut self, key: &JobKey) {
        if self.keys.insert(key.clone()) {
            self.order.push_back(key.clone());
        }
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &JobKey) {
        self.keys.remove(key);
    }

    /// Removes and returns up to `max` keys, the oldest first.
    pub fn take(&mut self, max: usize) -> Vec<JobKey> {
        let Self { order, keys } = self;
        let oldest_first = std::iter::from_fn(|| order.pop_front());
        oldest_first
            .filter(|key| keys.remove(key))
            .take(max)
            .collect()
    }
}
