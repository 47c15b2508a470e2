//! The policies that the system is compared with: they push each task to an upstream at once.

use strum::{Display, EnumIter};

/// How a baseline chooses an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Baseline {
    /// Any, at random.
    RandomPush,
    /// Of two at random, the one with the lower known load.
    LeastOfTwo,
    /// The one with the lowest known load.
    LeastKnown,
}

/// What one entry knows of the load of the upstreams: the load that came with the last end of a task,
/// and what it has sent since.
#[derive(Clone, Debug)]
pub struct LoadEstimates {
    known: Vec<u32>,
}

impl LoadEstimates {
    /// Creates the knowledge of an entry that has sent nothing.
    pub fn new(upstreams: usize) -> Self {
        Self {
            known: vec![0; upstreams],
        }
    }

    /// Takes the load that an upstream reports.
    pub fn record(&mut self, upstream: usize, load: u32) {
        self.known[upstream] = load;
    }

    /// Chooses among the suitable upstreams for the next task.
    pub fn choose(
        &mut self,
        baseline: Baseline,
        suitable: &[usize],
        rng: &mut fastrand::Rng,
    ) -> usize {
        let any = |rng: &mut fastrand::Rng| suitable[rng.usize(..suitable.len())];
        let chosen = match baseline {
            Baseline::RandomPush => any(rng),
            Baseline::LeastOfTwo => {
                let (first, second) = (any(rng), any(rng));
                if self.known[second] < self.known[first] {
                    second
                } else {
                    first
                }
            }
            Baseline::LeastKnown => {
                let offset = rng.usize(..suitable.len());
                let rotated = suitable[offset..].iter().chain(&suitable[..offset]);
                *rotated
                    .min_by_key(|index| self.known[**index])
                    .expect("an upstream is suitable")
            }
        };
        self.known[chosen] += 1;
        chosen
    }
}
