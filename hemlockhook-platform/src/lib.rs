//! The platform's log and workers.
