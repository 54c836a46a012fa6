//! A failure domain is taken out and brought back.

use std::time::Duration;

use rand_pcg::Pcg64;

use crate::experiment::{Experiment, scenario, stage};

/// Time for which the failure domain is out.
const OUT: Duration = Duration::from_secs(6);

/// Time after the return that still counts as the move.
const RETURN: Duration = Duration::from_secs(2);

/// A failure domain is taken out and brought back.
#[derive(Debug, Clone, Copy)]
pub struct DomainMove;

impl Experiment for DomainMove {
    async fn disturb(&self, stage: &stage::Stage, random: &mut Pcg64) -> miette::Result<()> {
        let domain = scenario::domain(random);
        stage.take_out(domain).await?;
        tokio::time::sleep(OUT).await;
        stage.bring_back(domain).await?;
        tokio::time::sleep(RETURN).await;
        Ok(())
    }
}
