//! Which of two messages is newer.

use cuminward_serving::message::Sequence;
use googletest::prelude::*;

#[gtest]
fn a_node_that_started_anew_is_heard_whatever_number_its_start_has() {
    let place = |incarnation, number| Sequence { incarnation, number };
    for (next, known, expected) in [
        (place(5, 2), place(5, 1), true),
        (place(5, 1), place(5, 1), false),
        (place(5, 1), place(5, 2), false),
        (place(9, 1), place(5, 700), true),
        (place(3, 1), place(5, 700), true),
    ] {
        expect_that!(next.supersedes(known), eq(expected), "{next:?} after {known:?}");
    }
}
