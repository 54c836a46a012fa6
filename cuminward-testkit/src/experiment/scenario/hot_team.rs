//! One team sends several times its share of requests.

use std::time::Duration;

use cuminward_standin::load;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, runner, testbed},
};

/// Chats per second that the hot team sends beyond its share.
const RATE: f64 = 250.0;

/// Time for which the hot team sends the additional chats.
const BURST: Duration = Duration::from_secs(6);

/// One team sends several times its share of requests.
#[derive(Debug, Clone, Copy)]
pub struct HotTeam;

impl Experiment for HotTeam {
    fn setup(&self) -> Setup {
        Setup { comparable: false, ..Setup::default() }
    }

    async fn inject_faults(
        &self,
        testbed: &testbed::Testbed,
        random: &mut Pcg64,
    ) -> miette::Result<()> {
        let hot = declare::TEAMS[1];
        testbed.record_event(format!("{} sends {RATE} more chats a second", hot.name));
        let setup = Setup { rate: RATE, duration: BURST, ..self.setup() };
        let mut options = runner::load_options(setup, random.random());
        options.teams.retain(|it| it.name == hot.name);
        let report = load::run_with_targets(&options, |index| load::Target::Chat {
            address: testbed.pick_node(index).expect("no node is stopped, so one is ready"),
        });
        let report = report.await;
        testbed.record_event(format!(
            "of {} more chats {} were complete and {} refused",
            report.all.sent, report.all.complete, report.all.refused
        ));
        testbed.history().bursts.push(report);
        Ok(())
    }
}
