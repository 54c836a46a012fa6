//! List of all nodes, by which limits are divided.

use cuminward_serving::nodes::List;
use googletest::prelude::*;

#[gtest]
fn an_amount_is_divided_only_by_a_complete_list() {
    let mut list = List::new(String::from("a"));
    expect_that!(list.divide(12.0), none());
    expect_that!(list.add("b"), eq(true));
    expect_that!(list.add("b"), eq(false), "known");
    expect_that!(list.add("a"), eq(false), "the node itself");
    expect_that!(list.divide(12.0), none());
    expect_that!(list.set_complete(), eq(true));
    expect_that!(list.set_complete(), eq(false));
    expect_that!(list.divide(12.0), some(eq(6.0)));
    list.add("c");
    expect_that!(list.divide(12.0), some(eq(4.0)));
}

#[gtest]
fn nodes_with_the_same_list_take_different_ranks() {
    let names: Vec<String> = (0..95).map(|it| format!("front-{it}")).collect();
    for item in [0, 1, u64::MAX] {
        let mut ranks: Vec<usize> = names
            .iter()
            .map(|own| {
                let mut list = List::new(own.clone());
                names.iter().for_each(|it| {
                    list.add(it);
                });
                list.rank(item)
            })
            .collect();
        ranks.sort_unstable();
        expect_that!(ranks, eq(&(0..95).collect::<Vec<_>>()), "{item}");
    }
}
