//! The platform's log is unavailable for some seconds.

use std::time::Duration;

use cuminward_standin::log::Fault;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, testbed},
};

/// Minimum length of the outage.
const MIN_OUTAGE: Duration = Duration::from_secs(5);

/// Number of appends whose responses are lost after the outage.
const LOST_ANSWERS: u32 = 2;

/// The platform's log is unavailable for some seconds.
#[derive(Debug, Clone, Copy)]
pub struct LogOutage;

impl Experiment for LogOutage {
    fn setup(&self) -> Setup {
        Setup { comparable: false, duration: Duration::from_secs(20), ..Setup::default() }
    }

    async fn inject_faults(
        &self,
        testbed: &testbed::Testbed,
        random: &mut Pcg64,
    ) -> miette::Result<()> {
        testbed.apply(declare::team(&declare::TEAMS[0])).await;
        testbed.inject_log_fault(Fault::Down).await;
        let extra = Duration::from_millis(random.random_range(0..1_500));
        // The change is either refused without effect, or accepted once the log is available again.
        // If it is accepted, it has to come into force at every node.
        let change = testbed.apply(declare::team(&declare::TEAMS[1]));
        let outage = async {
            tokio::time::sleep(MIN_OUTAGE + extra).await;
            testbed.inject_log_fault(Fault::LoseAnswers { count: LOST_ANSWERS }).await;
            testbed.inject_log_fault(Fault::Up).await;
        };
        tokio::join!(change, outage);
        testbed.apply(declare::team(&declare::TEAMS[1])).await;
        Ok(())
    }
}
