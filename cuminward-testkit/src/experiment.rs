//! Small experiments: real nodes over stand-ins, mixed load, one kind of fault, counted promises.
//!
//! Every count is taken at the stand-ins and at the callers, never from what a node says about
//! itself. The choices of an experiment come from its seed.

pub mod baseline;
pub mod desk;
pub mod promise;
pub mod report;
pub mod runner;
pub mod scenario;
pub mod stage;
pub mod watch;

use std::{future::Future, time::Duration};

use clap::ValueEnum;
use rand_pcg::Pcg64;

/// One experiment: its load and its faults over time.
pub trait Experiment {
    /// Load and shape of the cluster.
    fn setup(&self) -> Setup {
        Setup::default()
    }

    /// Brings the faults about and ends them again.
    ///
    /// # Errors
    ///
    /// A report if a fault can't be brought about, which makes the run worthless.
    fn disturb(
        &self,
        stage: &stage::Stage,
        random: &mut Pcg64,
    ) -> impl Future<Output = miette::Result<()>> + Send;
}

/// Load and shape of the cluster of an experiment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setup {
    /// Chats a second, both teams together.
    pub rate: f64,
    /// Time during which requests start.
    pub duration: Duration,
    /// Time before the first fault.
    pub fault_delay: Duration,
    /// Tokens of a chat at most.
    pub max_tokens: u64,
    /// Whether each node sees the world through links of its own, which can be cut.
    pub views: bool,
    /// Whether the faults also mean something to callers without nodes.
    pub comparable: bool,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            rate: 40.0,
            duration: Duration::from_secs(16),
            fault_delay: Duration::from_secs(4),
            max_tokens: 48,
            views: false,
            comparable: true,
        }
    }
}

/// Access
impl Setup {
    /// A setup that suits two experiments at once.
    pub fn join(self, other: Setup) -> Setup {
        Setup {
            rate: self.rate.max(other.rate),
            duration: self.duration.max(other.duration),
            fault_delay: self.fault_delay.max(other.fault_delay),
            max_tokens: self.max_tokens.max(other.max_tokens),
            views: self.views || other.views,
            comparable: self.comparable && other.comparable,
        }
    }
}

/// Names of the experiments.
#[cuminward_derive::value]
#[derive(ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Name {
    /// Hosts of replicas die and come back.
    MemberLoss,
    /// All hosts of a fabric domain die and come back.
    FabricDark,
    /// Every node is replaced gracefully, one after the other, and hosts leave.
    RollingReplace,
    /// A failure domain is taken out and brought back.
    DomainMove,
    /// The platform's log is down for some seconds.
    LogOutage,
    /// A failure domain is cut off from the others, and for some seeds from the platform.
    Partition,
    /// Engine and plain hosts restart without warning under load.
    ColdStart,
    /// One team sends several times its share.
    HotTeam,
    /// One request crashes each replica that runs it, and its caller sends it again.
    CrashingRequest,
    /// Open connections go silent while new ones work.
    SilentConnections,
    /// Two of the others at the same time, chosen by the seed.
    Together,
}
