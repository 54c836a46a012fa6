//! Tests of `digest`.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::id;
use cuminward_peer::digest::{self, Digest, Evidence};
use googletest::prelude::*;

type Nodes = BTreeMap<id::Node, Option<Evidence>>;

fn seen(age_ms: u64, draining: bool) -> Option<Evidence> {
    Some(Evidence { age: Duration::from_millis(age_ms), draining })
}

fn nodes(known: &[(&str, Option<Evidence>)]) -> Nodes {
    known.iter().map(|(name, evidence)| ((*name).to_owned(), *evidence)).collect()
}

#[gtest]
fn evidence_is_decoded_with_and_without_names() {
    let sent = nodes(&[("a", seen(0, false)), ("b", seen(130, true)), ("c", None)]);
    let list = digest::hash(sent.keys());
    for receiver in [list, 0] {
        let digest = Digest::new(&sent, receiver);
        let got: Vec<_> = digest.evidence(sent.keys()).into_iter().map(|(_, it)| it).collect();
        let expected: Vec<_> = [seen(0, false), seen(150, true)].into_iter().flatten().collect();
        expect_that!(got, eq(&expected));
        expect_that!(digest.names.is_empty(), eq(receiver == list));
    }
}

#[gtest]
fn digest_without_names_is_ignored_for_another_list() {
    let sent = nodes(&[("a", seen(0, false)), ("b", seen(50, false))]);
    let other = nodes(&[("b", None), ("d", None)]);
    let named = Digest::new(&sent, digest::hash(other.keys()));
    let got: Vec<_> = named.evidence(other.keys()).into_iter().map(|(it, _)| it.clone()).collect();
    expect_that!(got, elements_are![eq("b")]);
    let unnamed = Digest::new(&sent, digest::hash(sent.keys()));
    expect_that!(unnamed.evidence(other.keys()), is_empty());
    expect_that!(Digest::default().evidence(other.keys()), is_empty());
}

#[gtest]
fn encoding_never_reduces_an_age() {
    for age_ms in [0, 1, 25, 26, 1_000, 3_149, 3_151, 60_000] {
        let sent = nodes(&[("a", seen(age_ms, false))]);
        let digest = Digest::new(&sent, 0);
        let age = digest.evidence(sent.keys()).first().map(|(_, it)| it.age);
        let age = age.unwrap_or(Duration::MAX);
        expect_that!(age, ge(Duration::from_millis(age_ms)));
    }
}
