//! Open connections go silent while new ones work.

use std::time::Duration;

use cuminward_standin::{engine::control::Fault, plain};
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, scenario, stage},
};

/// Times that the connections go silent.
const TIMES: u32 = 2;

/// Time between them.
const PAUSE: Duration = Duration::from_secs(3);

/// Open connections go silent while new ones work.
#[derive(Debug, Clone, Copy)]
pub struct SilentConnections;

impl Experiment for SilentConnections {
    fn setup(&self) -> Setup {
        Setup { duration: Duration::from_secs(18), ..Setup::default() }
    }

    async fn disturb(&self, stage: &stage::Stage, random: &mut Pcg64) -> miette::Result<()> {
        for _ in 0..TIMES {
            let domain = scenario::domain(random);
            for replica in stage.ready().await {
                let host = replica.members[0].clone();
                if host.starts_with(domain) {
                    stage.fault(Fault::Silence { host }).await;
                }
            }
            let host = format!("{domain}-{}-0", declare::DESK);
            stage.plain_fault(plain::Fault::Silence { host }).await;
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }
}
