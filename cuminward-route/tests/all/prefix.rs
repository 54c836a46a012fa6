//! Tests of the prefix index.

use cuminward_core::cache::{Batch, Event, Kind};
use cuminward_route::prefix::{self, Index, Options, Outcome};
use googletest::prelude::*;
use xxhash_rust::xxh3;

fn event(seq: u64, kind: Kind, id: prefix::Id) -> Event {
    Event { seq, kind, prefix: format!("{id:016x}") }
}

#[gtest]
fn ids_cover_the_prompt_from_its_start() {
    let prompt: Vec<u8> = (0..200).collect();
    let mut ids = Vec::new();
    prefix::compute_ids(&prompt, &mut ids);
    let expected: Vec<u64> = [64, 128, 192].map(|it| xxh3::xxh3_64(&prompt[..it])).into();
    expect_that!(ids, eq(&expected));
}

#[gtest]
fn follows_events_and_resets_at_gaps() {
    struct Case {
        batch: Batch,
        outcome: Outcome,
        held: &'static [u64],
        missing: &'static [u64],
    }
    let stored = |seq, id| event(seq, Kind::Stored, id);
    let cases = [
        Case {
            batch: Batch { next: 2, gap: false, events: vec![stored(0, 11), stored(1, 12)] },
            outcome: Outcome::Applied,
            held: &[11, 12],
            missing: &[],
        },
        Case {
            batch: Batch {
                next: 3,
                gap: false,
                events: vec![stored(1, 12), event(2, Kind::Removed, 11)],
            },
            outcome: Outcome::Applied,
            held: &[12],
            missing: &[11],
        },
        Case {
            batch: Batch { next: 6, gap: false, events: vec![stored(5, 13)] },
            outcome: Outcome::Reset,
            held: &[13],
            missing: &[11, 12],
        },
        Case {
            batch: Batch { next: 9, gap: true, events: vec![stored(8, 14)] },
            outcome: Outcome::Reset,
            held: &[14],
            missing: &[13],
        },
        Case {
            batch: Batch { next: 1, gap: false, events: vec![stored(0, 15)] },
            outcome: Outcome::Reset,
            held: &[15],
            missing: &[14],
        },
    ];
    let index = Index::new(Options::default());
    for (number, case) in cases.iter().enumerate() {
        expect_that!(index.apply(&case.batch), eq(case.outcome), "case {number}");
        let held = case.held.iter().all(|&it| index.contains(it));
        let missing = case.missing.iter().all(|&it| !index.contains(it));
        expect_that!((held, missing, index.next_event()), eq((true, true, case.batch.next)));
    }
}

#[gtest]
fn size_is_bounded_and_recent_prefixes_match() {
    let index = Index::new(Options { entries: 64 });
    (1..10_000).for_each(|it: u64| index.insert(it.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let held =
        (1..10_000).filter(|&it: &u64| index.contains(it.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    expect_that!(held.count(), le(64));
    index.clear();
    index.insert_all(&[1, 2, 4]);
    expect_that!(index.matched_blocks(&[1, 2, 3, 4]), eq(2));
}
