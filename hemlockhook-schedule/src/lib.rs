//! Queueing, grants, estimates, quotas and upstream health.
//!
//! An entry owns a [`Dispatcher`], which queues the tasks of its jobs and places them on the grants
//! that it holds. An agent owns a [`SlotTable`], which shares its upstream's slots among the entries
//! as grants. Neither does I/O: events and the time go in, actions come out.

pub mod dispatcher;
pub mod slots;
pub mod spec;

pub use dispatcher::Dispatcher;
pub use slots::{SlotAction, SlotTable};
pub use spec::{
    Demand, Intervention, InterventionKind, JobId, JobSpec, Placement, Policy, Rejection, Snapshot,
    TaskSpec, TeamSnapshot, UpstreamHealth, UpstreamSnapshot, UpstreamSpec,
};
