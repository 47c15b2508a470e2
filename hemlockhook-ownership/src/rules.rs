//! Switches that disable single rules of the protocol. Tests use them to show that the checker
//! detects the absence of each rule.

/// The rules of the protocol. All are enabled outside of such tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// An agent refuses starts whose ballot is below the shard's floor.
    pub floor: bool,
    /// An agent accepts no start before it has joined.
    pub join: bool,
    /// An agent accepts no start after its lease has expired.
    pub lease: bool,
    /// An agent whose lease expired must join again before it accepts starts.
    pub rejoin: bool,
    /// An agent refuses a task that it has started before.
    pub marker: bool,
    /// A key counts as fresh only if both the owner and the counter of its stamp equal those of the
    /// ballot.
    pub stamp_owner: bool,
    /// An owner does not serve submissions whose stamp is above its ballot.
    pub stamp_above: bool,
    /// Old keys are served only after the takeover was recorded in the log.
    pub recorded: bool,
    /// Old keys are served only after all announced agents have reported.
    pub reports: bool,
    /// A key is too old once its stamp is older than the window.
    pub window: bool,
    /// A report decides only on starts that were sent on an earlier link.
    pub earlier_link: bool,
    /// A start whose marker may have expired counts as lost.
    pub expired_markers: bool,
    /// A task whose agent was declared lost is never started again.
    pub lost: bool,
    /// A withdrawal is stored at an agent before the job is answered as not run.
    pub withdraw: bool,
    /// An agent that left without a custodian counts as unaccounted for.
    pub custody: bool,
    /// An account is complete, and an agent joins, only if the log reaches back far enough.
    pub log_coverage: bool,
    /// Receivers drop the messages of superseded links.
    pub superseded_links: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            floor: true,
            join: true,
            lease: true,
            rejoin: true,
            marker: true,
            stamp_owner: true,
            stamp_above: true,
            recorded: true,
            reports: true,
            window: true,
            earlier_link: true,
            expired_markers: true,
            lost: true,
            withdraw: true,
            custody: true,
            log_coverage: true,
            superseded_links: true,
        }
    }
}
