//! Queueing, grants, estimates, quotas and upstream health.
//!
//! An entry owns a [`Dispatcher`], which queues the tasks of its jobs and places them on upstreams
//! under the grants that it holds. An agent owns a [`SlotTable`], which distributes its upstream's
//! slots to the entries as grants. Neither performs I/O: they take events and the current time, and
//! return actions.

mod admission;
mod demand;
pub mod dispatcher;
mod estimate;
mod placement;
mod pool;
mod queue;
mod share;
pub mod slots;
pub mod spec;
mod upstream;
mod upstreams;

pub use dispatcher::Dispatcher;
pub use slots::{SlotAction, SlotTable};
pub use spec::{
    Demand, Intervention, InterventionKind, JobId, JobSpec, Placement, Policy, Rejection, Snapshot,
    TaskSpec, TeamSnapshot, UpstreamHealth, UpstreamSnapshot, UpstreamSpec,
};
