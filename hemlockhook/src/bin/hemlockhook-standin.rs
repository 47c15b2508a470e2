//! The hemlockhook-standin daemon.

fn main() {}
