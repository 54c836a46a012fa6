//! The platform's log is down for some seconds.

use std::time::Duration;

use cuminward_standin::log::Fault;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, stage},
};

/// Shortest outage.
const SHORTEST: Duration = Duration::from_secs(5);

/// Appends whose answers are lost after the outage.
const LOST_ANSWERS: u32 = 2;

/// The platform's log is down for some seconds.
#[derive(Debug, Clone, Copy)]
pub struct LogOutage;

impl Experiment for LogOutage {
    fn setup(&self) -> Setup {
        Setup { comparable: false, duration: Duration::from_secs(20), ..Setup::default() }
    }

    async fn disturb(&self, stage: &stage::Stage, random: &mut Pcg64) -> miette::Result<()> {
        stage.apply(declare::team(&declare::TEAMS[0])).await;
        stage.log_fault(Fault::Down).await;
        let longer = Duration::from_millis(random.random_range(0..1_500));
        // Either refused truthfully, or accepted once the log is back; in force everywhere then.
        let change = stage.apply(declare::team(&declare::TEAMS[1]));
        let outage = async {
            tokio::time::sleep(SHORTEST + longer).await;
            stage.log_fault(Fault::LoseAnswers { count: LOST_ANSWERS }).await;
            stage.log_fault(Fault::Up).await;
        };
        tokio::join!(change, outage);
        stage.apply(declare::team(&declare::TEAMS[1])).await;
        Ok(())
    }
}
