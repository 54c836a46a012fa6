//! Tests of `page`.

use googletest::prelude::*;

#[gtest]
fn page_is_up_to_date() {
    let page = include_str!("../../../docs/EVENTS.md");
    expect_that!(page, eq(&cuminward_event::page::markdown()));
}
