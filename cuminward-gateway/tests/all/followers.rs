//! Nodes that leave reading the store to others of their failure domain.

use std::time::Duration;

use cuminward_adapter_fake::{
    entry::Entry,
    store::{Door, Trouble},
};
use googletest::prelude::*;
use tokio::time;

use crate::{
    configuration::{IN_FORCE, new_route, wait_for_status},
    site::{Node, Site, is_ready, plain_entry},
};

/// Number of nodes that read the store for the others.
const READERS: usize = 4;
const FOLLOWERS: usize = 2;

/// Time in which the nodes hear of each other and agree on who reads the store.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Changes of a kind that a test makes. Followers also read the host list themselves at a longer interval; the
/// changes come at different moments of it.
const ROUNDS: usize = 3;

/// A failure domain with readers and followers.
struct Domain {
    site: Site,
    /// Address of the store that the readers use.
    door: Door,
    readers: Vec<Node>,
    followers: Vec<Node>,
}

/// Life cycle
impl Domain {
    async fn start(name: &str) -> Domain {
        let site = Site::start().await;
        let door = site.store.open_door().await.expect("a loopback port is free");
        let (mut readers, mut followers) = (Vec::new(), Vec::new());
        for index in 0..READERS {
            readers.push(site.start_node(&format!("{name}-{index}"), door.address).await);
        }
        for index in READERS..READERS + FOLLOWERS {
            followers.push(site.starting_node(&format!("{name}-{index}")).await);
        }
        for node in readers.iter().chain(&followers) {
            while !is_ready(node.ready).await {
                time::sleep(Duration::from_millis(20)).await;
            }
        }
        time::sleep(SETTLE_TIME).await;
        Domain { site, door, readers, followers }
    }
}

/// Access
impl Domain {
    /// Returns how many of a number of requests at the followers the host with an index received.
    async fn requests_at(&self, host: usize) -> usize {
        let host = &self.site.plain[host];
        host.clear_received();
        for number in 0..16 {
            for node in &self.followers {
                let answer = node.get(&format!("/desk/{number}"), &[]).await;
                expect_that!(answer.map(|it| it.status.as_u16()).ok(), some(eq(200)));
            }
        }
        host.received().len()
    }
}

/// Guards against followers that stay on the former configuration while the readers, which go on answering them,
/// can't read the store.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_at_followers_while_the_store_turns_their_readers_away() {
    for (index, trouble) in [Trouble::Refusal, Trouble::Silence].into_iter().enumerate() {
        let domain = Domain::start(&format!("changed-{index}")).await;
        domain.door.set_trouble(Some(trouble));
        time::sleep(Duration::from_millis(100)).await;
        domain.site.configure(2, new_route());
        for node in &domain.followers {
            let is_in_force = wait_for_status(node, "/new/1", 200).await;
            expect_that!(is_in_force, eq(true), "{trouble:?}");
        }
    }
}

/// Guards against followers that send requests to hosts that drain while the readers can't read the store.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn followers_avoid_draining_hosts_while_the_store_turns_their_readers_away() {
    for (index, trouble) in [Trouble::Refusal, Trouble::Silence].into_iter().enumerate() {
        let domain = Domain::start(&format!("draining-{index}")).await;
        domain.door.set_trouble(Some(trouble));
        let store = &domain.site.store;
        for round in 0..ROUNDS {
            let (leaving, other) = (round % 2, 1 - round % 2);
            let entry = |host: usize| plain_entry(&domain.site.plain[host]);
            let name = |host: usize| domain.site.plain[host].id.as_str();
            store.put_entry(name(other), &Entry { seq: round as u64, ..entry(other) });
            store.put_entry(name(leaving), &Entry { is_draining: true, ..entry(leaving) });
            time::sleep(IN_FORCE).await;
            let late = domain.requests_at(leaving).await;
            expect_that!(late, eq(0), "{trouble:?}, round {round}");
        }
    }
}
