//! Drawing of faults.

use cuminward_soak::fault::{self, Fault, Scope, Weights};
use googletest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const NODES: usize = 5;
const HOSTS: usize = 18;
const DRAWS: usize = 1000;

struct WeightCase {
    name: &'static str,
    weights: Weights,
    has_pauses: bool,
    has_strandings: bool,
    has_refusals: bool,
    has_limits: bool,
}

fn draw(weights: Weights) -> Vec<Fault> {
    let mut random = Pcg64::seed_from_u64(1);
    (0..DRAWS).map(|_| fault::draw(&mut random, weights, NODES, HOSTS)).collect()
}

#[gtest]
fn faults_without_weight_are_not_drawn() {
    let weights = |[pauses, strandings, refusals, limits]: [u32; 4]| Weights {
        pauses,
        strandings,
        refusals,
        limits,
    };
    let case =
        |name, weights, [has_pauses, has_strandings, has_refusals, has_limits]: [bool; 4]| {
            WeightCase { name, weights, has_pauses, has_strandings, has_refusals, has_limits }
        };
    let cases = [
        case("by default", Weights::default(), [true; 4]),
        case("none", weights([0; 4]), [false; 4]),
        case("pauses", weights([3, 0, 0, 0]), [true, false, false, false]),
        case("strandings", weights([0, 1, 0, 0]), [false, true, false, false]),
        case("refusals", weights([0, 0, 2, 0]), [false, false, true, false]),
        case("limits", weights([0, 0, 0, 2]), [false, false, false, true]),
    ];
    for case in cases {
        let drawn = draw(case.weights);
        let pauses = drawn.iter().any(|it| matches!(it, Fault::Pause(..)));
        let limits = drawn.iter().any(|it| matches!(it, Fault::NameLimit(..)));
        let refusals = drawn.iter().any(|it| matches!(it, Fault::Refuse(..)));
        let strandings = drawn.iter().any(|it| matches!(it, Fault::Strand(..)));
        expect_that!(pauses, eq(case.has_pauses), "{}", case.name);
        expect_that!(strandings, eq(case.has_strandings), "{}", case.name);
        expect_that!(refusals, eq(case.has_refusals), "{}", case.name);
        expect_that!(limits, eq(case.has_limits), "{}", case.name);
        expect_that!(draw(case.weights), eq(&drawn), "{}: the same again", case.name);
    }
}

struct ScopeCase {
    scope: Scope,
    nodes: Vec<usize>,
}

#[gtest]
fn scopes_leave_some_nodes_out() {
    let cases = [
        ScopeCase { scope: Scope::Node(3), nodes: vec![3] },
        ScopeCase { scope: Scope::Most(3), nodes: vec![3, 4, 0] },
        ScopeCase { scope: Scope::Domain(3), nodes: vec![0, 3] },
        ScopeCase { scope: Scope::Domain(2), nodes: vec![2] },
    ];
    for case in cases {
        expect_that!(case.scope.nodes(NODES), eq(&case.nodes), "{:?}", case.scope);
    }
}

struct SeedCase {
    weights: Weights,
    drawn: Vec<Fault>,
}

/// What these weights draw must not change, so that seeds of older findings draw the same faults.
#[gtest]
fn faults_that_came_later_change_no_draw_without_their_weight() {
    let older = Weights { pauses: 0, strandings: 0, refusals: 0, limits: 0 };
    let cases = [
        SeedCase {
            weights: older,
            drawn: vec![
                Fault::Hangup(0),
                Fault::Terminate(3),
                Fault::KillAll,
                Fault::Hangup(2),
                Fault::Freeze(0),
                Fault::Terminate(1),
                Fault::LateOrders,
                Fault::Configure,
                Fault::Crash(6),
                Fault::StoreCut(4),
            ],
        },
        SeedCase {
            weights: Weights { pauses: 3, strandings: 1, ..older },
            drawn: vec![
                Fault::StoreDown,
                Fault::Terminate(3),
                Fault::KillAll,
                Fault::StoreDown,
                Fault::Hangup(0),
                Fault::Terminate(1),
                Fault::Pause(4, 12),
                Fault::LateOrders,
                Fault::Pause(10, 1),
                Fault::Crash(16),
            ],
        },
    ];
    for case in cases {
        let drawn = draw(case.weights);
        expect_that!(drawn[..case.drawn.len()], eq(&case.drawn[..]), "{:?}", case.weights);
    }
}
