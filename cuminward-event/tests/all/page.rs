//! Tests of `page`.

use googletest::prelude::*;

#[gtest]
fn documentation_equals_the_code() {
    let page = include_str!("../../../docs/EVENTS.md");
    expect_that!(page, eq(&cuminward_event::page::markdown()));
}
