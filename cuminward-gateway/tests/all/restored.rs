//! The store comes back from an older copy: it loses its newest records and hands their offsets out again.

use cuminward_adapter_fake::catalog::{Retry, Route};
use googletest::prelude::*;

use crate::{
    configuration::wait_for_status,
    site::{PLAIN, Site, route},
};

/// Returns a route that the usual catalog doesn't have.
fn new_route(prefix: &str) -> Option<Route> {
    Some(Route { max_attempts: 1, is_anonymous: true, ..route(prefix, Retry::Idempotent, PLAIN) })
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_after_the_store_lost_records_is_in_force_although_its_offset_is_known() {
    struct Case {
        /// Versions that the store loses.
        lost: u64,
        /// Versions that the operator writes again before the change.
        rewritten: u64,
        /// Whether the store keeps the newest record of each key only.
        is_compacted: bool,
    }
    let cases = [
        Case { lost: 1, rewritten: 0, is_compacted: false },
        Case { lost: 3, rewritten: 0, is_compacted: false },
        Case { lost: 3, rewritten: 1, is_compacted: false },
        Case { lost: 2, rewritten: 2, is_compacted: false },
        Case { lost: 2, rewritten: 1, is_compacted: true },
    ];
    for (index, case) in cases.into_iter().enumerate() {
        let Case { lost, rewritten, is_compacted } = case;
        let name = format!("lost {lost}, rewritten {rewritten}, compacted {is_compacted}");
        let site = Site::start().await;
        let node = site.node(&format!("restored-{index}")).await;
        let backup = site.store.backup();
        for version in 0..lost {
            site.configure(10 + version, new_route(&format!("/lost-{version}/")));
        }
        let newest = format!("/lost-{}/1", lost - 1);
        expect_that!(wait_for_status(&node, &newest, 200).await, eq(true), "{name}");
        site.store.restore(backup);
        for version in lost - rewritten..lost {
            site.configure(10 + version, new_route(&format!("/lost-{version}/")));
        }
        if is_compacted {
            site.store.compact_platform_topics();
        }
        site.configure(20, new_route("/new/"));
        expect_that!(wait_for_status(&node, "/new/1", 200).await, eq(true), "{name}");
        expect_that!(wait_for_status(&node, &newest, 404).await, eq(true), "{name}");
    }
}
