//! The transitions of the randomised runs.

use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::world::{Fate, Mutant, PUBLISHERS, READERS, Seen, World};

/// One event of a run.
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
        fate: Fate,
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
        fate: Fate,
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
    Land,
    Truncate {
        keep: usize,
    },
}

/// Generates transitions. All state is in the [`World`]; the reference holds the run's settings.
pub struct Machine;

impl ReferenceStateMachine for Machine {
    type State = (Option<Mutant>, Seen);
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just((None, Seen::default())).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Transition> {
        let reader = || 0..READERS;
        let publisher = || 0..PUBLISHERS;
        prop_oneof![
            12 => (reader(), 1..4_usize).prop_map(|(reader, max)| Transition::Poll { reader, max }),
            1 => reader().prop_map(|reader| Transition::Restart { reader }),
            4 => (reader(), reader()).prop_map(|(from, to)| Transition::Adopt { from, to }),
            3 => (reader(), fate()).prop_map(|(reader, fate)| Transition::Repeat { reader, fate }),
            6 => (publisher(), reader(), prop_oneof![4 => Just(0), 1 => 1..4_u64])
                .prop_map(|(publisher, reader, behind)| Transition::Begin { publisher, reader, behind }),
            2 => publisher().prop_map(|publisher| Transition::Restore { publisher }),
            20 => (publisher(), fate())
                .prop_map(|(publisher, fate)| Transition::Step { publisher, fate }),
            1 => publisher().prop_map(|publisher| Transition::Deadline { publisher }),
            2 => publisher().prop_map(|publisher| Transition::Resume { publisher }),
            2 => prop::bool::weighted(0.3).prop_map(|down| Transition::Outage { down }),
            2 => Just(Transition::Land),
            2 => (0..6_usize).prop_map(|keep| Transition::Truncate { keep }),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Transition) -> Self::State {
        state
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        5 => Just(Fate::Done),
        1 => Just(Fate::Doubled),
        2 => Just(Fate::ReplyLost),
        1 => Just(Fate::DoubledReplyLost),
        1 => Just(Fate::RequestLost),
        2 => Just(Fate::Late),
    ]
}

/// Applies the transitions to the world.
pub struct Publishing;

impl StateMachineTest for Publishing {
    type SystemUnderTest = World;
    type Reference = Machine;

    fn init_test((mutant, seen): &(Option<Mutant>, Seen)) -> World {
        World::new(*mutant, seen.clone())
    }

    fn apply(mut world: World, _: &(Option<Mutant>, Seen), transition: Transition) -> World {
        world.note_versions();
        match transition {
            Transition::Poll { reader, max } => world.poll(reader, max),
            Transition::Restart { reader } => world.restart(reader),
            Transition::Adopt { from, to } => world.adopt(from, to),
            Transition::Repeat { reader, fate } => world.repeat(reader, fate),
            Transition::Begin {
                publisher,
                reader,
                behind,
            } => {
                world.begin(publisher, reader, behind);
            }
            Transition::Restore { publisher } => world.restore(publisher),
            Transition::Step { publisher, fate } => world.step(publisher, fate),
            Transition::Deadline { publisher } => world.deadline(publisher),
            Transition::Resume { publisher } => world.resume(publisher),
            Transition::Outage { down } => world.log.down = down,
            Transition::Land => world.log.land(),
            Transition::Truncate { keep } => world.log.truncate(keep),
        }
        world
    }

    fn check_invariants(world: &World, _: &(Option<Mutant>, Seen)) {
        world.check();
    }

    fn teardown(mut world: World, _: (Option<Mutant>, Seen)) {
        world.finish();
    }
}
