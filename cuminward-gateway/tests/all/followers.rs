//! Nodes that leave reading the store to others of their failure domain.

use std::time::{Duration, Instant};

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

/// Changes of a kind that a test makes, at different moments of the nodes' intervals.
const ROUNDS: usize = 3;

/// Time by which a round is longer than the changes need, so that the rounds differ in that moment.
const ROUND_PAUSE: Duration = Duration::from_millis(400);

/// Interval at which a host that stays writes its entry again.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

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

    /// Returns the index of the host that the followers prefer.
    async fn preferred_host(&self) -> usize {
        let requests = [self.requests_at(0).await, self.requests_at(1).await];
        usize::from(requests[1] > requests[0])
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
        let first = domain.preferred_host().await;
        domain.door.set_trouble(Some(trouble));
        let store = &domain.site.store;
        for round in 0..ROUNDS {
            let leaving = (first + round) % 2;
            let other = 1 - leaving;
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

/// Guards against followers that never hear of a host's removal: readers that had been turned away deferred the
/// removal and went on to hand out later records.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn followers_learn_of_a_removal_that_their_readers_defer() {
    let domain = Domain::start("removed").await;
    for round in 0..ROUNDS {
        let index = domain.preferred_host().await;
        let (leaving, staying) = (&domain.site.plain[index], &domain.site.plain[1 - index]);
        domain.door.set_trouble(Some(Trouble::Refusal));
        time::sleep(Duration::from_millis(1500)).await;
        domain.door.set_trouble(None);
        // The readers notice that the store is back.
        time::sleep(Duration::from_millis(600)).await;
        domain.site.store.put_raw_entry(&leaving.id, "");
        let removed_at = Instant::now();
        for beat in 0.. {
            if removed_at.elapsed() >= IN_FORCE {
                break;
            }
            let entry = Entry { seq: beat, ..plain_entry(staying) };
            domain.site.store.put_entry(&staying.id, &entry);
            time::sleep(HEARTBEAT_INTERVAL).await;
        }
        expect_that!(domain.requests_at(index).await, eq(0), "round {round}");
        let restarted = Entry { incarnation: round as u64 + 2, ..plain_entry(leaving) };
        domain.site.store.put_entry(&leaving.id, &restarted);
        time::sleep(IN_FORCE + ROUND_PAUSE).await;
    }
    expect_that!(domain.readers.len(), eq(READERS));
}

/// Guards against a node that sends requests to a removed host although it has reached the store again for 3 s: the
/// end of the deferral of removals was only noticed with a next read of the list.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn removals_are_deferred_no_longer_than_a_node_counts_as_cut_off() {
    let domain = Domain::start("deferred").await;
    domain.door.set_trouble(Some(Trouble::Silence));
    time::sleep(Duration::from_millis(2000)).await;
    domain.door.set_trouble(None);
    let returned_at = Instant::now();
    // By then, the nodes have noticed that the store is back.
    time::sleep(Duration::from_millis(900)).await;
    for host in &domain.site.plain {
        domain.site.store.put_raw_entry(&host.id, "");
    }
    time::sleep(Duration::from_millis(3000).saturating_sub(returned_at.elapsed())).await;
    for node in &domain.readers {
        let status = node.get("/desk/1", &[]).await.map(|it| it.status.as_u16()).ok();
        expect_that!(status, some(eq(503)), "no host is left");
    }
}
