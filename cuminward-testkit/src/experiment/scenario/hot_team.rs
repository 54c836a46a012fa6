//! One team sends several times its share.

use std::time::Duration;

use cuminward_standin::load;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, runner, stage},
};

/// Chats a second that the hot team sends beyond its share.
const RATE: f64 = 250.0;

/// Time for which it does.
const HOT: Duration = Duration::from_secs(6);

/// One team sends several times its share.
#[derive(Debug, Clone, Copy)]
pub struct HotTeam;

impl Experiment for HotTeam {
    fn setup(&self) -> Setup {
        Setup { comparable: false, ..Setup::default() }
    }

    async fn disturb(&self, stage: &stage::Stage, random: &mut Pcg64) -> miette::Result<()> {
        let hot = declare::TEAMS[1];
        stage.note(format!("{} sends {RATE} more chats a second", hot.name));
        let setup = Setup { rate: RATE, duration: HOT, ..self.setup() };
        let mut options = runner::load_options(setup, random.random());
        options.teams.retain(|it| it.name == hot.name);
        let report = load::run_with_targets(&options, |index| load::Target::Chat {
            address: stage.balance(index).expect("some node is ready"),
        });
        let report = report.await;
        stage.note(format!(
            "of {} more chats {} were complete and {} refused",
            report.all.sent, report.all.complete, report.all.refused
        ));
        stage.marks().bursts.push(report);
        Ok(())
    }
}
