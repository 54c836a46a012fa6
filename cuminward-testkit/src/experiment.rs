//! Fault-injection experiments: real nodes on stand-ins, mixed load, one kind of fault, and counted
//! violations of the promises.
//!
//! Violations are counted at the stand-ins and the callers rather than by the nodes under test,
//! except where a promise is about a node's own state. The seed determines the choices of an
//! experiment.

pub mod baseline;
pub mod desk;
pub mod promise;
pub mod report;
pub mod runner;
pub mod scenario;
pub mod testbed;
pub mod watch;

use std::{future::Future, time::Duration};

use clap::ValueEnum;
use rand_pcg::Pcg64;

/// An experiment: its load, and its faults over time.
pub trait Experiment {
    /// Returns the load and the options of the cluster.
    fn setup(&self) -> Setup {
        Setup::default()
    }

    /// Injects the faults and ends them again.
    ///
    /// # Errors
    ///
    /// A report if a fault can't be injected, which makes the run invalid.
    fn inject_faults(
        &self,
        testbed: &testbed::Testbed,
        random: &mut Pcg64,
    ) -> impl Future<Output = miette::Result<()>> + Send;
}

/// Load and cluster options of an experiment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setup {
    /// Chats per second, of both teams together.
    pub rate: f64,
    /// Time during which requests are started.
    pub duration: Duration,
    /// Time from the start of the load to the first fault.
    pub fault_delay: Duration,
    /// Maximum number of tokens of a chat.
    pub max_tokens: u64,
    /// Whether each node reaches its environment through its own links, which can be cut.
    pub views: bool,
    /// Whether the faults also affect callers that use the engines directly, so that a baseline run
    /// can be compared.
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
    /// Returns a setup that suits two experiments that run at the same time.
    pub fn merge(self, other: Setup) -> Setup {
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
    /// Hosts of replicas fail and restart.
    MemberLoss,
    /// All hosts of a fabric domain fail and restart.
    FabricDark,
    /// Every node is replaced gracefully, one after the other, and an engine host and a plain host
    /// leave.
    RollingReplace,
    /// A failure domain is taken out of service and brought back.
    DomainMove,
    /// The platform's log is unavailable for some seconds.
    LogOutage,
    /// A failure domain is partitioned from the others, and for some seeds from the platform.
    Partition,
    /// Engine and plain hosts restart without warning under load.
    ColdStart,
    /// One team sends several times its share of requests.
    HotTeam,
    /// One request crashes each replica that runs it, and its caller retries it.
    CrashingRequest,
    /// Open connections stop carrying data while new ones work.
    SilentConnections,
    /// Two of the other experiments at the same time, chosen by the seed.
    Together,
}
