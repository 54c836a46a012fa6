//! Every node is replaced gracefully, one after the other, and hosts leave.

use cuminward_core::id;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, runner, scenario, stage},
};

/// Every node is replaced gracefully, one after the other, and hosts leave.
#[derive(Debug, Clone, Copy)]
pub struct RollingReplace;

impl Experiment for RollingReplace {
    fn setup(&self) -> Setup {
        Setup { comparable: false, ..Setup::default() }
    }

    async fn disturb(&self, stage: &stage::Stage, random: &mut Pcg64) -> miette::Result<()> {
        let domain = scenario::domain(random);
        let plain = random.random_range(0..runner::PLAINS);
        stage.leave(&format!("{domain}-{}-{plain}", declare::DESK), false).await;
        let ready = stage.ready().await;
        let replica = &ready[random.random_range(0..ready.len())];
        let member = random.random_range(0..replica.members.len());
        stage.leave(&replica.members[member], true).await;
        let nodes: Vec<(id::Node, id::Domain)> = {
            let cluster = stage.cluster.read().await;
            let row = |(name, node): (&id::Node, &cuminward_node::node::Node)| {
                (name.clone(), node.state().settings.domain.clone())
            };
            cluster.nodes().map(row).collect()
        };
        for (old, domain) in nodes {
            stage.replace(&old, &format!("{old}-new"), &domain).await?;
        }
        Ok(())
    }
}
