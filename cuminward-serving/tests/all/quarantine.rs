//! Quarantine of what crashing requests have in common.

use std::{collections::BTreeSet, time::Duration};

use cuminward_serving::quarantine::{
    Proof, Quarantined, Sighting, Subject, THRESHOLD, Tracker, subjects,
};
use googletest::prelude::*;
use proptest::prelude::*;

/// Subjects of the cases.
const A: Subject = Subject::Part(0xa);
const B: Subject = Subject::Part(0xb);

/// Time before the first step of a case, in milliseconds.
const START_MS: u64 = 100_000;

/// What a tracker is told.
enum Step {
    /// A crash with this id while a request with these subjects was in flight.
    Crash(u64, &'static [Subject]),
    /// A response to a request with a subject.
    Response(Subject),
}

use Step::{Crash, Response};

struct Case {
    name: &'static str,
    /// Milliseconds after the start, and what happens then.
    steps: &'static [(u64, Step)],
    /// Milliseconds after the start at which the result is checked.
    checked_at: u64,
    /// Requests, by their subjects, that are quarantined.
    quarantined: &'static [&'static [Subject]],
}

/// Requests that each case checks.
const REQUESTS: [&[Subject]; 3] = [&[A], &[B], &[A, B]];

fn at(after_start: u64) -> Duration {
    Duration::from_millis(START_MS + after_start)
}

fn play(steps: &[(u64, Step)]) -> Tracker {
    let mut tracker = Tracker::default();
    for (after, step) in steps {
        match step {
            Crash(id, request) => {
                tracker.record_crash(at(*after), request, *id);
            }
            Response(subject) => tracker.record_proof(at(*after), *subject),
        }
    }
    tracker
}

fn blocked(quarantined: &Quarantined, now: Duration) -> Vec<&'static [Subject]> {
    REQUESTS.into_iter().filter(|it| quarantined.contains(now, it)).collect()
}

#[gtest]
fn subjects_are_quarantined_after_crashes_that_nothing_else_explains() {
    let cases = [
        Case {
            name: "two crashes",
            steps: &[(0, Crash(1, &[A])), (500, Crash(2, &[A]))],
            checked_at: 600,
            quarantined: &[],
        },
        Case {
            name: "three crashes",
            steps: &[(0, Crash(1, &[A])), (500, Crash(2, &[A])), (900, Crash(3, &[A]))],
            checked_at: 900,
            quarantined: &[&[A], &[A, B]],
        },
        Case {
            name: "one crash, seen three times",
            steps: &[(0, Crash(1, &[A])), (500, Crash(1, &[A])), (900, Crash(1, &[A]))],
            checked_at: 900,
            quarantined: &[],
        },
        Case {
            name: "hosts that ended at the same time",
            steps: &[(0, Crash(1, &[A])), (5, Crash(2, &[A])), (9, Crash(3, &[A]))],
            checked_at: 900,
            quarantined: &[],
        },
        Case {
            name: "a response after the crashes",
            steps: &[
                (0, Crash(1, &[A])),
                (500, Crash(2, &[A])),
                (900, Crash(3, &[A])),
                (950, Response(A)),
            ],
            checked_at: 950,
            quarantined: &[],
        },
        Case {
            name: "a response between the crashes",
            steps: &[
                (0, Crash(1, &[A])),
                (400, Response(A)),
                (500, Crash(2, &[A])),
                (900, Crash(3, &[A])),
            ],
            checked_at: 900,
            quarantined: &[],
        },
        Case {
            name: "a response long before the others",
            steps: &[
                (0, Crash(1, &[A])),
                (400, Response(A)),
                (60_500, Crash(2, &[A])),
                (60_900, Crash(3, &[A])),
                (61_300, Crash(4, &[A])),
            ],
            checked_at: 61_300,
            quarantined: &[&[A], &[A, B]],
        },
        Case {
            name: "four crashes soon after a response",
            steps: &[
                (0, Crash(0, &[A])),
                (100, Response(A)),
                (1000, Crash(1, &[A])),
                (1500, Crash(2, &[A])),
                (2000, Crash(3, &[A])),
                (2500, Crash(4, &[A])),
            ],
            checked_at: 2500,
            quarantined: &[],
        },
        Case {
            name: "five crashes soon after a response",
            steps: &[
                (0, Crash(0, &[A])),
                (100, Response(A)),
                (1000, Crash(1, &[A])),
                (1500, Crash(2, &[A])),
                (2000, Crash(3, &[A])),
                (2500, Crash(4, &[A])),
                (3000, Crash(5, &[A])),
            ],
            checked_at: 3000,
            quarantined: &[&[A], &[A, B]],
        },
        Case {
            name: "two subjects that always come together",
            steps: &[(0, Crash(1, &[A, B])), (500, Crash(2, &[A, B])), (900, Crash(3, &[A, B]))],
            checked_at: 900,
            quarantined: &[&[A, B]],
        },
        Case {
            name: "one of two subjects got a response",
            steps: &[
                (0, Crash(1, &[A, B])),
                (500, Crash(2, &[A, B])),
                (900, Crash(3, &[A, B])),
                (950, Response(A)),
            ],
            checked_at: 950,
            quarantined: &[&[B], &[A, B]],
        },
        Case {
            name: "one of two subjects crashes another host",
            steps: &[
                (0, Crash(1, &[A, B])),
                (500, Crash(2, &[A, B])),
                (900, Crash(3, &[A, B])),
                (1300, Crash(4, &[B])),
            ],
            checked_at: 1300,
            quarantined: &[&[B], &[A, B]],
        },
        Case {
            name: "one of two subjects crashed another host before",
            steps: &[
                (0, Crash(1, &[B])),
                (500, Crash(2, &[A, B])),
                (900, Crash(3, &[A, B])),
                (1300, Crash(4, &[A, B])),
            ],
            checked_at: 1300,
            quarantined: &[&[B], &[A, B]],
        },
        Case {
            name: "two subjects that come together, one of which got a response before",
            steps: &[
                (0, Crash(0, &[A])),
                (100, Response(A)),
                (500, Crash(1, &[A, B])),
                (1000, Crash(2, &[A, B])),
                (1500, Crash(3, &[A, B])),
                (2000, Crash(4, &[A, B])),
                (2500, Crash(5, &[A, B])),
            ],
            checked_at: 2500,
            quarantined: &[&[B], &[A, B]],
        },
        Case {
            name: "two subjects of different requests at the same crashes",
            steps: &[
                (0, Crash(1, &[A])),
                (0, Crash(1, &[B])),
                (500, Crash(2, &[A])),
                (500, Crash(2, &[B])),
                (900, Crash(3, &[A])),
                (900, Crash(3, &[B])),
            ],
            checked_at: 900,
            quarantined: &[&[A], &[B], &[A, B]],
        },
        Case {
            name: "two subjects that come together, and once at the same crash in different requests",
            steps: &[
                (0, Crash(1, &[A, B])),
                (500, Crash(2, &[A, B])),
                (900, Crash(3, &[A])),
                (900, Crash(3, &[B])),
            ],
            checked_at: 900,
            quarantined: &[&[A], &[B], &[A, B]],
        },
        Case {
            name: "a subject of other requests at some of the crashes",
            steps: &[
                (0, Crash(1, &[A])),
                (300, Crash(2, &[A])),
                (300, Crash(2, &[B])),
                (600, Crash(3, &[A])),
                (600, Crash(3, &[B])),
                (900, Crash(4, &[A])),
                (900, Crash(4, &[B])),
            ],
            checked_at: 900,
            quarantined: &[&[A], &[A, B]],
        },
        Case {
            name: "two subjects that crash hosts by themselves",
            steps: &[
                (0, Crash(1, &[A])),
                (300, Crash(2, &[B])),
                (600, Crash(3, &[A])),
                (900, Crash(4, &[B])),
                (1200, Crash(5, &[A])),
                (1500, Crash(6, &[B])),
            ],
            checked_at: 1500,
            quarantined: &[&[A], &[B], &[A, B]],
        },
        Case {
            name: "the quarantine lasts",
            steps: &[(0, Crash(1, &[A])), (500, Crash(2, &[A])), (900, Crash(3, &[A]))],
            checked_at: 600_000,
            quarantined: &[&[A], &[A, B]],
        },
        Case {
            name: "the quarantine ends",
            steps: &[(0, Crash(1, &[A])), (500, Crash(2, &[A])), (900, Crash(3, &[A]))],
            checked_at: 601_000,
            quarantined: &[],
        },
    ];
    for case in cases {
        let tracker = play(case.steps);
        let now = at(case.checked_at);
        let blocked = blocked(&tracker.quarantined(now), now);
        expect_that!(blocked, eq(case.quarantined), "{}", case.name);
    }
}

#[gtest]
fn the_last_part_of_a_prompt_is_no_subject() {
    let request = Subject::Request(7);
    expect_that!(subjects(7, &[]), elements_are![eq(&request)]);
    expect_that!(subjects(7, &[0xa]), elements_are![eq(&request)]);
    expect_that!(subjects(7, &[0xa, 0xb, 1]), elements_are![eq(&request), eq(&A), eq(&B)]);
}

#[gtest]
fn nodes_agree_after_they_told_each_other_what_they_saw() {
    let now = at(1000);
    let first = play(&[(0, Crash(1, &[A])), (500, Crash(2, &[A]))]);
    let mut second = play(&[(5, Crash(1, &[A])), (900, Crash(3, &[A]))]);
    expect_that!(second.quarantined(now).is_empty(), eq(true));
    for sighting in first.sightings(now) {
        second.record_sighting(now, &sighting);
    }
    expect_that!(second.quarantined(now).contains(now, &[A]), eq(true));
    // The third node hears of all crashes from the second one, also of those that only the first one saw.
    let mut third = Tracker::default();
    for sighting in second.sightings(now) {
        third.record_sighting(now, &sighting);
    }
    expect_that!(third.quarantined(now), eq(&second.quarantined(now)));
}

#[gtest]
fn suspects_expire_and_are_bounded() {
    let mut tracker = Tracker::default();
    for number in 0..2000 {
        tracker.record_crash(at(number), &[Subject::Part(number)], number);
    }
    expect_that!(tracker.subjects().count(), all!(gt(100), le(256)));
    expect_that!(tracker.sightings(at(2000)).len(), le(64));
    tracker.expire(at(70_000));
    expect_that!(tracker.subjects().count(), eq(0));
}

proptest! {
    /// Crashes, whatever their cause, don't make a node refuse what gets a response after every fourth crash.
    #[test]
    fn a_subject_that_gets_responses_is_never_quarantined(
        crashes in proptest::collection::vec((0_u64..60_000, 0_u64..40), 1..80),
    ) {
        let mut tracker = Tracker::default();
        let mut crashes = crashes;
        crashes.sort_unstable();
        for (number, (after, id)) in crashes.into_iter().enumerate() {
            tracker.record_crash(at(after), &[A], id);
            if number % 4 == 0 {
                tracker.record_proof(at(after), A);
            }
            prop_assert!(!tracker.quarantined(at(after)).contains(at(after), &[A]));
        }
    }

    /// Sightings that arrive in any order and more than once have the same result.
    #[test]
    fn the_order_of_sightings_does_not_matter(
        ages in proptest::collection::vec(0_u64..5000, THRESHOLD..8),
        swaps in proptest::collection::vec((0_usize..8, 0_usize..8), 0..10),
    ) {
        let now = at(0);
        let sighting = |(crash, age): (usize, &u64)| Sighting {
            subject: A,
            crash: crash as u64,
            age: Duration::from_millis(*age),
            companions: BTreeSet::new(),
        };
        let sightings: Vec<Sighting> = ages.iter().enumerate().map(sighting).collect();
        let mut shuffled = [&sightings[..], &sightings[..]].concat();
        for (left, right) in swaps {
            let length = shuffled.len();
            shuffled.swap(left % length, right % length);
        }
        let [mut first, mut second] = [Tracker::default(), Tracker::default()];
        sightings.iter().for_each(|it| first.record_sighting(now, it));
        shuffled.iter().for_each(|it| second.record_sighting(now, it));
        prop_assert_eq!(first.quarantined(now), second.quarantined(now));
    }
}

/// Guards against a node that takes the crashes of before its start for one, and a response of before the crashes
/// for a later one, as it has no times for them.
#[gtest]
fn a_node_that_has_just_started_tells_the_crashes_of_before_apart() {
    let now = Duration::from_secs(1);
    let mut tracker = Tracker::default();
    let seconds_ago = |crash: u64, age: u64| Sighting {
        subject: A,
        crash,
        age: Duration::from_secs(age),
        companions: BTreeSet::new(),
    };
    tracker.record_sighting(now, &seconds_ago(1, 30));
    tracker.record_sighting(now, &seconds_ago(2, 20));
    expect_that!(blocked(&tracker.quarantined(now), now), is_empty());
    tracker.record_sighting(now, &seconds_ago(3, 10));
    expect_that!(blocked(&tracker.quarantined(now), now), eq(&vec![&[A][..], &[A, B][..]]));
    tracker.record_reported_proof(now, &Proof { subject: A, age: Duration::from_secs(120) });
    expect_that!(tracker.crash_count(A), eq(THRESHOLD));
}

/// Guards against crashes that are forgotten with the nodes, and against a call to the store for each crash.
#[gtest]
fn crashes_are_stored_once_from_the_second_one_of_a_subject_on() {
    struct Step {
        name: &'static str,
        /// Id of a crash that this node sees.
        own: Option<u64>,
        /// Id of a crash that another node saw.
        reported: Option<u64>,
        /// Ids of the crashes that are to be stored then.
        unstored: &'static [u64],
    }
    let steps = [
        Step { name: "first", own: Some(1), reported: None, unstored: &[] },
        Step { name: "of another node", own: None, reported: Some(2), unstored: &[1] },
        Step { name: "again", own: None, reported: None, unstored: &[] },
        Step { name: "third", own: Some(3), reported: None, unstored: &[3] },
    ];
    let mut tracker = Tracker::default();
    for (index, Step { name, own, reported, unstored }) in steps.into_iter().enumerate() {
        let now = at(1000 * index as u64);
        if let Some(crash) = own {
            tracker.record_crash(now, &[A], crash);
        }
        if let Some(crash) = reported {
            let (age, companions) = (Duration::ZERO, BTreeSet::new());
            tracker.record_sighting(now, &Sighting { subject: A, crash, age, companions });
        }
        let found: Vec<u64> = tracker.unstored(now).iter().map(|it| it.crash).collect();
        expect_that!(found, eq(&unstored), "{name}");
        for crash in found {
            tracker.record_stored(A, crash);
        }
    }
    tracker.clear_stored();
    expect_that!(tracker.unstored(at(4000)).len(), eq(2));
    tracker.record_proof(at(5000), A);
    expect_that!(tracker.unstored(at(5000)), is_empty());
    expect_that!(tracker.is_blamed(A, 1), eq(false));
}
