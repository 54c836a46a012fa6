//! One request crashes each replica that runs it, and its caller retries it.

use std::time::Duration;

use cuminward_standin::engine;
use rand_pcg::Pcg64;

use crate::{
    caller::Caller,
    declare,
    experiment::{Experiment, Setup, runner, testbed},
};

/// Number of times that the caller sends the request.
const ATTEMPTS: usize = 4;

/// Time between a response and the next attempt.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest wait for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait until all replicas are ready again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// One request crashes each replica that runs it, and its caller retries it.
#[derive(Debug, Clone, Copy)]
pub struct CrashingRequest;

impl Experiment for CrashingRequest {
    fn setup(&self) -> Setup {
        Setup { comparable: false, duration: Duration::from_secs(20), ..Setup::default() }
    }

    async fn inject_faults(
        &self,
        testbed: &testbed::Testbed,
        _random: &mut Pcg64,
    ) -> miette::Result<()> {
        let caller = Caller::new(&declare::TEAMS[0]);
        let text = format!("a kite {}", engine::Options::default().crash_marker);
        for index in 0..ATTEMPTS {
            let Some(node) = testbed.pick_node(index) else { continue };
            let answer = tokio::time::timeout(RESPONSE_TIMEOUT, caller.chat(node, &text, 16)).await;
            let crashes = testbed.cluster.read().await.environment.fleet().counters().crashes;
            let answer = match answer {
                Ok(Ok(answer)) => format!("{} {}", answer.status.as_u16(), answer.outcome()),
                Ok(Err(reason)) => reason,
                Err(_) => "no answer in time".to_owned(),
            };
            testbed.record_event(format!("crashing request {index}: {answer}; {crashes} crashes"));
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let count = runner::DOMAINS.len() * runner::REPLICAS as usize;
        let is_recovered = testbed.wait_ready(count, RECOVERY_TIMEOUT).await;
        testbed.record_event(format!("all replicas are whole again: {is_recovered}"));
        Ok(())
    }
}
