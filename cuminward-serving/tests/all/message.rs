//! Order of the messages of a node.

use cuminward_serving::message::Sequence;
use googletest::prelude::*;

#[gtest]
fn a_message_of_another_start_supersedes_whatever_its_number() {
    let sequence = |incarnation, number| Sequence { incarnation, number };
    for (next, known, expected) in [
        (sequence(5, 2), sequence(5, 1), true),
        (sequence(5, 1), sequence(5, 1), false),
        (sequence(5, 1), sequence(5, 2), false),
        (sequence(9, 1), sequence(5, 700), true),
        (sequence(3, 1), sequence(5, 700), true),
    ] {
        expect_that!(next.supersedes(known), eq(expected), "{next:?} after {known:?}");
    }
}
