//! Division of an upstream's throughput among entries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::Incarnation;
use crate::agent::links::{Links, Owner};

/// Part of an even share that an entry has whatever its demand, so that it can admit the first jobs of
/// callers that move to it. Its demand is known after three quarters of a second.
const LEAST_PART: f64 = 0.2;

/// Time for which an entry without a demand has an even share. An entry sends its demand half a second
/// after its start, and an echo later.
const NEW_ENTRY_TIME: Duration = Duration::from_secs(1);

/// What the share of an entry follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Basis {
    /// Demand, in thousandths of a core.
    Demand(f64),
    /// The entry has just started.
    Even,
}

/// Shares of the entries among which an agent divides its throughput.
#[derive(Debug, PartialEq)]
pub(super) struct Shares {
    by_entry: BTreeMap<Incarnation, f64>,
    /// Share of any other entry.
    least: f64,
}

impl Shares {
    /// Divides the throughput in proportion to the demands. The shares add up to 1.
    fn divide(bases: &BTreeMap<Incarnation, Basis>) -> Self {
        let even = 1.0 / bases.len().max(1) as f64;
        let demands = || {
            let demand = |basis: &Basis| match basis {
                Basis::Demand(demand) => Some(*demand),
                Basis::Even => None,
            };
            bases.values().filter_map(demand)
        };
        let total: f64 = demands().sum();
        let divided = even * demands().count() as f64;
        let least = LEAST_PART * even;
        let share = |basis: &Basis| match basis {
            Basis::Demand(demand) if total > 0.0 => {
                least + (1.0 - LEAST_PART) * divided * demand / total
            }
            Basis::Demand(_) | Basis::Even => even,
        };
        let shares = bases.iter().map(|(&entry, basis)| (entry, share(basis)));
        Self {
            by_entry: shares.collect(),
            least,
        }
    }

    /// Returns the part of the throughput that an entry can count on.
    pub(super) fn of(&self, entry: Incarnation) -> f64 {
        self.by_entry.get(&entry).copied().unwrap_or(self.least)
    }
}

impl Links {
    /// Returns the shares by demand; `None` unless all active entries send it.
    ///
    /// An entry whose link has ended keeps its share until its owner timeout, so that a short cut moves
    /// nothing.
    pub(super) fn shares_by_demand<F>(&self, now: Instant, is_busy: F) -> Option<Shares>
    where
        F: Fn(&Incarnation) -> bool,
    {
        let has_part = |(id, owner): &(&Incarnation, &Owner)| {
            let is_in_use = owner.link.is_none() || owner.is_active(now) || is_busy(id);
            owner.fresh_until >= now && is_in_use
        };
        let basis = |owner: &Owner| match owner.demand {
            Some(demand) => Some(Basis::Demand(demand)),
            None if now < owner.first_linked + NEW_ENTRY_TIME => Some(Basis::Even),
            None => None,
        };
        let parties = self.owners.iter().filter(has_part);
        let bases = parties.map(|(&id, owner)| Some((id, basis(owner)?)));
        let bases: BTreeMap<_, _> = bases.collect::<Option<_>>()?;
        let is_sent = bases.values().any(|basis| *basis != Basis::Even);
        is_sent.then(|| Shares::divide(&bases))
    }
}

/// Returns the share of an entry by what it uses, where not all entries send their demand.
pub(super) fn share_by_use(usage: f64, total_usage: f64, even_share: f64) -> f64 {
    match total_usage > 0.0 {
        true => even_share.max(usage / total_usage),
        false => even_share,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Entries of unequal size, as in a deployment of 12 entries with 0.09 to 0.5 of a core, eight of which
    /// are active at an agent. Demands are in thousandths of a core, the throughput is 32 cores.
    const DEMANDS: [f64; 8] = [
        1600.0, 1900.0, 2400.0, 3200.0, 4300.0, 5600.0, 7100.0, 8900.0,
    ];
    const THROUGHPUT: f64 = 32_000.0;

    /// An agent and its entries, each of which takes on what its share allows.
    #[derive(Default)]
    struct Model {
        usage: [f64; 8],
        /// Demands as the agent knows them: smoothed, and up to a frame old.
        known: [f64; 8],
    }

    impl Model {
        /// Passes 50 ms, and returns the work that is taken on, in thousandths of a core.
        fn step(&mut self, demands: &[f64; 8], is_by_demand: bool) -> f64 {
            let bases = self.known.iter().map(|&demand| Basis::Demand(demand));
            let shares = Shares::divide(&(0..).zip(bases).collect());
            let total: f64 = self.usage.iter().sum();
            let mut taken = [0.0; 8];
            for (index, &demand) in demands.iter().enumerate() {
                let share = match is_by_demand {
                    true => shares.of(index as Incarnation),
                    false => share_by_use(self.usage[index], total, 0.125),
                };
                taken[index] = demand.min(share * THROUGHPUT);
            }
            let taken_total: f64 = taken.iter().sum();
            // Agents refuse what exceeds the throughput.
            let scale = (THROUGHPUT / taken_total).min(1.0);
            for index in 0..8 {
                self.usage[index] += 0.095 * (taken[index] * scale - self.usage[index]);
                self.known[index] += 0.095 * (demands[index] - self.known[index]);
            }
            taken_total
        }
    }

    /// What entries take on after the callers of the largest one have moved to the smallest one.
    #[derive(Debug)]
    struct Outcome {
        /// Work in the first two seconds, as a part of what was asked for and could be done.
        served: f64,
        /// The smallest part of its demand that an entry takes on after two seconds.
        least_served: f64,
    }

    /// Moves callers at a load that is a multiple of the throughput.
    fn move_callers(load: f64, is_by_demand: bool) -> Outcome {
        let scale = load * THROUGHPUT / DEMANDS.iter().sum::<f64>();
        let mut demands = DEMANDS.map(|demand| demand * scale);
        let mut model = Model::default();
        for _ in 0..100 {
            model.step(&demands, is_by_demand);
        }
        demands.swap(0, 7);
        let possible = load.min(1.0) * THROUGHPUT;
        let step = |_| model.step(&demands, is_by_demand).min(possible);
        let served: f64 = (0..40).map(step).sum();
        let parts = model.usage.iter().zip(&demands);
        let parts = parts.map(|(usage, demand)| usage / demand);
        Outcome {
            served: served / (40.0 * possible),
            least_served: parts.fold(1.0, f64::min),
        }
    }

    /// Guards against entries that refuse most of what their new callers ask for, since other entries use
    /// the throughput, and against a division by demand that leaves throughput unused.
    #[test]
    fn callers_that_move_are_served_sooner_by_demand_than_by_use() {
        for (load, more_served, more_for_least) in [
            (0.7, 0.0, 0.0),
            (0.9, 0.03, 0.15),
            (1.0, 0.02, 0.25),
            (1.2, -0.025, 0.25),
            (1.6, -0.025, 0.2),
        ] {
            let by_use = move_callers(load, false);
            let by_demand = move_callers(load, true);
            let served = by_demand.served - by_use.served;
            let least = by_demand.least_served - by_use.least_served;
            let is_expected = served >= more_served && least >= more_for_least;
            assert!(is_expected, "{load}: {by_use:?}, {by_demand:?}");
        }
    }
}
