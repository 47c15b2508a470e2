//! The transitions of the randomized runs.

use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::simulation::{AppendFault, Coverage, Mutant, PUBLISHERS, READERS, Simulation};

/// An event of a run.
#[derive(Clone, Debug)]
pub enum Transition {
    Poll {
        reader: usize,
        max: usize,
    },
    Restart {
        reader: usize,
    },
    Adopt {
        from: usize,
        to: usize,
    },
    Repeat {
        reader: usize,
        fault: AppendFault,
    },
    Begin {
        publisher: usize,
        reader: usize,
        behind: u64,
    },
    Restore {
        publisher: usize,
    },
    Step {
        publisher: usize,
        fault: AppendFault,
    },
    Deadline {
        publisher: usize,
    },
    Resume {
        publisher: usize,
    },
    Outage {
        down: bool,
    },
    DeliverLate,
    Truncate {
        keep: usize,
    },
}

/// Generates transitions. The state is in the [`Simulation`]; the reference state only contains the
/// parameters of the run.
pub struct Machine;

impl ReferenceStateMachine for Machine {
    type State = (Option<Mutant>, Coverage);
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just((None, Coverage::default())).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Transition> {
        let reader = || 0..READERS;
        let publisher = || 0..PUBLISHERS;
        prop_oneof![
            12 => (reader(), 1..4_usize).prop_map(|(reader, max)| Transition::Poll { reader, max }),
            1 => reader().prop_map(|reader| Transition::Restart { reader }),
            4 => (reader(), reader()).prop_map(|(from, to)| Transition::Adopt { from, to }),
            3 => (reader(), fault()).prop_map(|(reader, fault)| Transition::Repeat { reader, fault }),
            6 => (publisher(), reader(), prop_oneof![4 => Just(0), 1 => 1..4_u64])
                .prop_map(|(publisher, reader, behind)| Transition::Begin { publisher, reader, behind }),
            2 => publisher().prop_map(|publisher| Transition::Restore { publisher }),
            20 => (publisher(), fault())
                .prop_map(|(publisher, fault)| Transition::Step { publisher, fault }),
            1 => publisher().prop_map(|publisher| Transition::Deadline { publisher }),
            2 => publisher().prop_map(|publisher| Transition::Resume { publisher }),
            2 => prop::bool::weighted(0.3).prop_map(|down| Transition::Outage { down }),
            2 => Just(Transition::DeliverLate),
            2 => (0..6_usize).prop_map(|keep| Transition::Truncate { keep }),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Transition) -> Self::State {
        state
    }
}

fn fault() -> impl Strategy<Value = AppendFault> {
    prop_oneof![
        5 => Just(AppendFault::None),
        1 => Just(AppendFault::Duplicated),
        2 => Just(AppendFault::ReplyLost),
        1 => Just(AppendFault::DuplicatedReplyLost),
        1 => Just(AppendFault::RequestLost),
        2 => Just(AppendFault::Late),
    ]
}

/// Applies the transitions to the simulation.
pub struct Publishing;

impl StateMachineTest for Publishing {
    type SystemUnderTest = Simulation;
    type Reference = Machine;

    fn init_test((mutant, coverage): &(Option<Mutant>, Coverage)) -> Simulation {
        Simulation::new(*mutant, coverage.clone())
    }

    fn apply(
        mut simulation: Simulation,
        _: &(Option<Mutant>, Coverage),
        transition: Transition,
    ) -> Simulation {
        simulation.record_versions();
        match transition {
            Transition::Poll { reader, max } => simulation.poll(reader, max),
            Transition::Restart { reader } => simulation.restart(reader),
            Transition::Adopt { from, to } => simulation.adopt(from, to),
            Transition::Repeat { reader, fault } => simulation.repeat(reader, fault),
            Transition::Begin {
                publisher,
                reader,
                behind,
            } => {
                simulation.begin(publisher, reader, behind);
            }
            Transition::Restore { publisher } => simulation.restore(publisher),
            Transition::Step { publisher, fault } => simulation.step(publisher, fault),
            Transition::Deadline { publisher } => simulation.deadline(publisher),
            Transition::Resume { publisher } => simulation.resume(publisher),
            Transition::Outage { down } => simulation.log.down = down,
            Transition::DeliverLate => simulation.log.deliver_late(),
            Transition::Truncate { keep } => simulation.log.truncate(keep),
        }
        simulation
    }

    fn check_invariants(simulation: &Simulation, _: &(Option<Mutant>, Coverage)) {
        simulation.check();
    }

    fn teardown(mut simulation: Simulation, _: (Option<Mutant>, Coverage)) {
        simulation.finish();
    }
}
