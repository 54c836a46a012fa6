//! A failure domain is taken out of service and brought back.

use std::time::Duration;

use rand_pcg::Pcg64;

use crate::experiment::{Experiment, scenario, testbed};

/// Time for which the failure domain is out of service.
const OUT_OF_SERVICE: Duration = Duration::from_secs(6);

/// Time after the return to service that still counts as during the faults.
const SETTLING: Duration = Duration::from_secs(2);

/// A failure domain is taken out of service and brought back.
#[derive(Debug, Clone, Copy)]
pub struct DomainMove;

impl Experiment for DomainMove {
    async fn inject_faults(
        &self,
        testbed: &testbed::Testbed,
        random: &mut Pcg64,
    ) -> miette::Result<()> {
        let domain = scenario::random_domain(random);
        testbed.take_out(domain).await?;
        tokio::time::sleep(OUT_OF_SERVICE).await;
        testbed.bring_back(domain).await?;
        tokio::time::sleep(SETTLING).await;
        Ok(())
    }
}
