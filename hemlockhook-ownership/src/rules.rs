//! Switches that turn single rules of the protocol off, for tests that show that the checker
//! notices the absence of each.

/// The rules of the protocol. All are on but in such tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// An agent refuses starts below its floor.
    pub floor: bool,
    /// An agent takes no start before it has joined.
    pub join: bool,
    /// An agent takes no start once its lease has lapsed.
    pub lease: bool,
    /// An agent whose lease lapsed joins again before it takes starts.
    pub rejoin: bool,
    /// An agent refuses a task that it has started before.
    pub marker: bool,
    /// A key is fresh only if owner and counter of its stamp are those of the ballot.
    pub stamp_owner: bool,
    /// An owner does not serve a stamp above its ballot.
    pub stamp_above: bool,
    /// Old keys need a recorded takeover.
    pub recorded: bool,
    /// Old keys need the reports of all announced agents.
    pub reports: bool,
    /// A key is too old once its stamp is older than the window.
    pub window: bool,
    /// A report judges only starts that were sent on an earlier link.
    pub link_epoch: bool,
    /// A start whose marker may have been forgotten counts as lost.
    pub forgotten: bool,
    /// A task whose agent was given up is never started again.
    pub lost: bool,
    /// A refusal as not run is marked at an agent before it is given.
    pub withdraw: bool,
    /// A leaving agent that no other agent stands for counts as unaccounted.
    pub custody: bool,
    /// Accounts need a log that reaches back far enough.
    pub history: bool,
    /// Receivers drop messages of superseded links.
    pub links: bool,
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
            link_epoch: true,
            forgotten: true,
            lost: true,
            withdraw: true,
            custody: true,
            history: true,
            links: true,
        }
    }
}
