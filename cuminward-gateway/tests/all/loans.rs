//! Retries of nodes that follow an earlier process, which may have used their share of the reserve.

use std::time::Duration;

use cuminward_adapter_fake::host::{self, Behaviour};
use googletest::prelude::*;
use tokio::time;

use crate::site::{Node, Site};

/// Time in which nodes hear of each other.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Time for which a host is avoided after a failure.
const BACKOFF: Duration = Duration::from_millis(1100);

/// Number of requests of each case; the first attempt of each fails.
const REQUESTS: usize = 3;

/// Other nodes of a case.
enum Others {
    /// There is none.
    None,
    /// One that is the first process of its node.
    First,
    /// One that follows an earlier process too.
    Following,
}

/// Guards against repeats that pile up when processes are killed and started again, and against requests that fail since
/// a process that has just started may not retry.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_follows_an_earlier_process_retries_what_others_lend() -> Result<()> {
    struct Case {
        name: &'static str,
        others: Others,
        /// Reserve of all nodes together.
        reserve: u32,
        /// Number of requests that are retried.
        retried: usize,
    }
    let cases = [
        Case { name: "alone", others: Others::None, reserve: 100, retried: 0 },
        Case { name: "others follow too", others: Others::Following, reserve: 100, retried: 0 },
        Case { name: "others may lend", others: Others::First, reserve: 100, retried: REQUESTS },
        Case { name: "others have one", others: Others::First, reserve: 2, retried: 1 },
    ];
    for Case { name, others, reserve, retried } in cases {
        let site = Site::start().await;
        let _other: Option<Node> = match others {
            Others::None => None,
            Others::First => Some(site.node_with_reserve("loan-other", reserve).await),
            Others::Following => Some(site.following_node("loan-other", reserve).await),
        };
        let node = site.following_node("loan-node", reserve).await;
        time::sleep(SETTLE_TIME).await;
        let mut answered = 0;
        for _ in 0..REQUESTS {
            host::share_script(&site.plain, [Behaviour::CloseConnection]);
            let answer = node.send("POST", "/desk/1", &[], "body").await.or_fail()?;
            answered += usize::from(answer.status.is_success());
            time::sleep(BACKOFF).await;
        }
        expect_that!(answered, eq(retried), "{name}");
        expect_that!(site.plain_requests(), eq(REQUESTS + retried), "{name}");
    }
    Ok(())
}
