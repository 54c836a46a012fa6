//! All hosts of a fabric domain die and come back.

use std::time::Duration;

use cuminward_standin::engine::control::Fault;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::experiment::{Experiment, runner, scenario, stage};

/// Time for which the fabric domain is dark.
const DARK: Duration = Duration::from_secs(4);

/// Longest wait for the replicas to be whole again.
const WHOLE: Duration = Duration::from_secs(6);

/// All hosts of a fabric domain die and come back.
#[derive(Debug, Clone, Copy)]
pub struct FabricDark;

impl Experiment for FabricDark {
    async fn disturb(&self, stage: &stage::Stage, random: &mut Pcg64) -> miette::Result<()> {
        let domain = scenario::domain(random);
        let fabric = format!("{domain}-f{}", random.random_range(0..runner::FABRICS));
        stage.fault(Fault::KillFabric { fabric: fabric.clone() }).await;
        tokio::time::sleep(DARK).await;
        stage.fault(Fault::RestartFabric { fabric }).await;
        let count = runner::DOMAINS.len() * runner::REPLICAS as usize;
        let whole = stage.wait_ready(count, WHOLE).await;
        stage.note(format!("all replicas are whole again: {whole}"));
        Ok(())
    }
}
