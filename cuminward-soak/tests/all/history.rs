//! What follows from injected faults for nodes and hosts.

use std::time::Duration;

use cuminward_soak::{
    fault::{Fault, Scope},
    history::{self, Event},
};
use cuminward_standin::link::Disruption;
use googletest::prelude::*;
use tokio::time::Instant;

const NODES: usize = 5;

/// Node 0 and host 1 are in failure domain `a`, host 17 is in `c`.
const NODE: usize = 0;
const NEAR_HOST: usize = 1;
const FAR_HOST: usize = 17;

/// The span that is asked for, in milliseconds.
const SPAN_MS: (u64, u64) = (20_000, 22_000);

struct Case {
    name: &'static str,
    /// Faults with their beginnings and ends, in milliseconds.
    faults: Vec<(Fault, u64, u64)>,
    is_in_touch: bool,
    could_reach_near: bool,
    could_reach_far: bool,
    is_sound: bool,
}

#[gtest]
fn disruptions_excuse_what_they_concern() {
    let strand = Fault::Strand(Scope::Node(NODE), Disruption::Hang);
    let case = |name, faults, [is_in_touch, near, far, is_sound]: [bool; 4]| Case {
        name,
        faults,
        is_in_touch,
        could_reach_near: near,
        could_reach_far: far,
        is_sound,
    };
    let cases = [
        case("none", vec![], [true, true, true, true]),
        case("killed", vec![(Fault::Kill(NODE), 16_000, 17_500)], [false, false, false, true]),
        case("long ago", vec![(Fault::Kill(NODE), 15_000, 16_900)], [true, true, true, true]),
        case("later", vec![(Fault::KillAll, 22_100, 23_000)], [true, true, true, true]),
        case("another killed", vec![(Fault::Kill(2), 19_000, 20_500)], [true, true, false, true]),
        case("without store", vec![(Fault::StoreDown, 21_000, 23_000)], [false, true, true, true]),
        case("stranded", vec![(strand, 15_000, 21_000)], [true, false, false, true]),
        case(
            "paused",
            vec![(Fault::Pause(NEAR_HOST, 1), 20_000, 21_500)],
            [true, true, true, true],
        ),
        case(
            "paused with others",
            vec![(Fault::Pause(15, 5), 20_000, 21_500)],
            [true, true, true, true],
        ),
        case(
            "paused too long",
            vec![(Fault::Pause(15, 5), 20_000, 21_700)],
            [true, true, true, false],
        ),
        case(
            "others paused",
            vec![(Fault::Pause(15, 3), 20_000, 21_700)],
            [true, true, true, true],
        ),
        case("other host", vec![(Fault::Crash(2), 20_000, 21_500)], [true, true, true, true]),
        case("crashed", vec![(Fault::Crash(NEAR_HOST), 20_500, 21_000)], [true, true, true, false]),
        case("cut", vec![(Fault::CutHost(NEAR_HOST), 19_000, 21_000)], [true, true, true, false]),
        case(
            "paused twice",
            vec![
                (Fault::Pause(NEAR_HOST, 1), 20_000, 21_000),
                (Fault::Pause(NEAR_HOST, 1), 21_500, 22_500),
            ],
            [true, true, true, false],
        ),
        case(
            "dead connections",
            vec![(Fault::SilenceHost(NEAR_HOST), 12_000, 12_000)],
            [true, true, true, false],
        ),
    ];
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let span = (at(SPAN_MS.0), at(SPAN_MS.1));
    for case in cases {
        let event = |&(fault, from, until): &(Fault, u64, u64)| Event {
            fault,
            from: at(from),
            until: Some(at(until)),
        };
        let events: Vec<Event> = case.faults.iter().map(event).collect();
        let reach = |host| history::could_reach(&events, NODE, host, NODES, span);
        let name = case.name;
        expect_that!(history::is_in_touch(&events, NODE, span), eq(case.is_in_touch), "{name}");
        expect_that!(reach(NEAR_HOST), eq(case.could_reach_near), "{name}");
        expect_that!(reach(FAR_HOST), eq(case.could_reach_far), "{name}");
        expect_that!(history::is_sound(&events, NEAR_HOST, span), eq(case.is_sound), "{name}");
    }
}
