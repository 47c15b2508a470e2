//! The baseline policies that the system is compared with. Each pushes a task to an upstream as soon
//! as it arrives.

use strum::{Display, EnumIter};

/// How a baseline selects an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Baseline {
    /// Selects an upstream uniformly at random.
    RandomPush,
    /// Draws two upstreams at random and selects the one with the lower known load.
    LeastOfTwo,
    /// Selects the upstream with the lowest known load.
    LeastKnown,
}

/// One entry's estimate of the load of each upstream: the load reported with the last task result, plus
/// the tasks sent since.
#[derive(Clone, Debug)]
pub struct LoadEstimates {
    loads: Vec<u32>,
}

impl LoadEstimates {
    /// Creates the estimates of an entry that has not sent a task yet, all 0.
    pub fn new(upstreams: usize) -> Self {
        Self {
            loads: vec![0; upstreams],
        }
    }

    /// Replaces the estimate for an upstream by the load that it reported.
    pub fn record(&mut self, upstream: usize, load: u32) {
        self.loads[upstream] = load;
    }

    /// Selects one of the suitable upstreams for the next task and counts the task in its estimate.
    pub fn select(
        &mut self,
        baseline: Baseline,
        suitable: &[usize],
        rng: &mut fastrand::Rng,
    ) -> usize {
        let draw = |rng: &mut fastrand::Rng| suitable[rng.usize(..suitable.len())];
        let selected = match baseline {
            Baseline::RandomPush => draw(rng),
            Baseline::LeastOfTwo => {
                let (first, second) = (draw(rng), draw(rng));
                if self.loads[second] < self.loads[first] {
                    second
                } else {
                    first
                }
            }
            Baseline::LeastKnown => {
                let offset = rng.usize(..suitable.len());
                let rotated = suitable[offset..].iter().chain(&suitable[..offset]);
                *rotated
                    .min_by_key(|index| self.loads[**index])
                    .expect("at least one upstream is suitable")
            }
        };
        self.loads[selected] += 1;
        selected
    }
}
