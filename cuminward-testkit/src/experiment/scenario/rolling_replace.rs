//! Every node is replaced gracefully, one after the other, and an engine host and a plain host
//! leave.

use cuminward_core::id;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, runner, scenario, testbed},
};

/// Every node is replaced gracefully, one after the other, and an engine host and a plain host
/// leave.
#[derive(Debug, Clone, Copy)]
pub struct RollingReplace;

impl Experiment for RollingReplace {
    fn setup(&self) -> Setup {
        Setup { comparable: false, ..Setup::default() }
    }

    async fn inject_faults(
        &self,
        testbed: &testbed::Testbed,
        random: &mut Pcg64,
    ) -> miette::Result<()> {
        let domain = scenario::random_domain(random);
        let plain = random.random_range(0..runner::PLAINS);
        testbed.mark_leaving(&format!("{domain}-{}-{plain}", declare::DESK), false).await;
        let ready = testbed.ready_replicas().await;
        let replica = &ready[random.random_range(0..ready.len())];
        let member = random.random_range(0..replica.members.len());
        testbed.mark_leaving(&replica.members[member], true).await;
        let nodes: Vec<(id::Node, id::Domain)> = {
            let cluster = testbed.cluster.read().await;
            let row = |(name, node): (&id::Node, &cuminward_node::node::Node)| {
                (name.clone(), node.state().settings.domain.clone())
            };
            cluster.nodes().map(row).collect()
        };
        for (old, domain) in nodes {
            testbed.replace_node(&old, &format!("{old}-new"), &domain).await?;
        }
        Ok(())
    }
}
