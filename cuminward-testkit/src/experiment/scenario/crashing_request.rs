//! One request crashes each replica that runs it, and its caller sends it again.

use std::time::Duration;

use cuminward_standin::engine;
use rand_pcg::Pcg64;

use crate::{
    caller::Caller,
    declare,
    experiment::{Experiment, Setup, runner, stage},
};

/// Times that the caller sends the request.
const TIMES: usize = 4;

/// Time between an answer and the next try.
const PAUSE: Duration = Duration::from_secs(1);

/// Longest wait for one answer.
const ANSWER: Duration = Duration::from_secs(3);

/// Longest wait for the replicas to be whole again.
const WHOLE: Duration = Duration::from_secs(5);

/// One request crashes each replica that runs it, and its caller sends it again.
#[derive(Debug, Clone, Copy)]
pub struct CrashingRequest;

impl Experiment for CrashingRequest {
    fn setup(&self) -> Setup {
        Setup { comparable: false, duration: Duration::from_secs(20), ..Setup::default() }
    }

    async fn disturb(&self, stage: &stage::Stage, _random: &mut Pcg64) -> miette::Result<()> {
        let caller = Caller::new(&declare::TEAMS[0]);
        let text = format!("a kite {}", engine::Options::default().crash_marker);
        for index in 0..TIMES {
            let Some(node) = stage.balance(index) else { continue };
            let answer = tokio::time::timeout(ANSWER, caller.chat(node, &text, 16)).await;
            let crashes = stage.cluster.read().await.environment.fleet().counters().crashes;
            let answer = match answer {
                Ok(Ok(answer)) => format!("{} {}", answer.status.as_u16(), answer.outcome()),
                Ok(Err(reason)) => reason,
                Err(_) => "no answer in time".to_owned(),
            };
            stage.note(format!("crashing request {index}: {answer}; {crashes} crashes"));
            tokio::time::sleep(PAUSE).await;
        }
        let count = runner::DOMAINS.len() * runner::REPLICAS as usize;
        let whole = stage.wait_ready(count, WHOLE).await;
        stage.note(format!("all replicas are whole again: {whole}"));
        Ok(())
    }
}
