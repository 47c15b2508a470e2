//! Queueing, grants, estimates, quotas and upstream health.
