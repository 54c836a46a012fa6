//! Experiments, one per module.

pub mod cold_start;
pub mod crashing_request;
pub mod domain_move;
pub mod fabric_dark;
pub mod hot_team;
pub mod log_outage;
pub mod member_loss;
pub mod partition;
pub mod rolling_replace;
pub mod silent_connections;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::experiment::{Experiment, Name, Setup, runner, testbed};

/// Experiments that can run at the same time as another one.
const COMBINED: [Name; 6] = [
    Name::MemberLoss,
    Name::DomainMove,
    Name::LogOutage,
    Name::ColdStart,
    Name::RollingReplace,
    Name::SilentConnections,
];

/// Evaluates an expression with the experiment of a name.
macro_rules! with_experiment {
    ($name:expr, $it:ident => $body:expr) => {
        match $name {
            Name::MemberLoss => {
                let $it = member_loss::MemberLoss;
                $body
            }
            Name::FabricDark => {
                let $it = fabric_dark::FabricDark;
                $body
            }
            Name::RollingReplace => {
                let $it = rolling_replace::RollingReplace;
                $body
            }
            Name::DomainMove => {
                let $it = domain_move::DomainMove;
                $body
            }
            Name::LogOutage => {
                let $it = log_outage::LogOutage;
                $body
            }
            Name::Partition => {
                let $it = partition::Partition;
                $body
            }
            Name::ColdStart => {
                let $it = cold_start::ColdStart;
                $body
            }
            Name::HotTeam => {
                let $it = hot_team::HotTeam;
                $body
            }
            Name::CrashingRequest => {
                let $it = crashing_request::CrashingRequest;
                $body
            }
            Name::SilentConnections => {
                let $it = silent_connections::SilentConnections;
                $body
            }
            Name::Together => unreachable!("`parts` replaces it by two others"),
        }
    };
}

/// Returns the experiments of a name: itself, or for `together` two that the seed chooses.
pub fn parts(name: Name, seed: u64) -> Vec<Name> {
    if name != Name::Together {
        return vec![name];
    }
    let mut random = Pcg64::seed_from_u64(seed);
    let first = random.random_range(0..COMBINED.len());
    let other = random.random_range(1..COMBINED.len());
    vec![COMBINED[first], COMBINED[(first + other) % COMBINED.len()]]
}

/// Returns a setup that suits experiments that run at the same time.
pub fn setup(parts: &[Name]) -> Setup {
    let setups = parts.iter().map(|name| with_experiment!(*name, it => it.setup()));
    setups.reduce(Setup::merge).unwrap_or_default()
}

/// Injects the faults of one experiment and ends them again.
///
/// # Errors
///
/// A report if a fault can't be injected.
pub async fn inject_faults(
    name: Name,
    testbed: &testbed::Testbed,
    random: &mut Pcg64,
) -> miette::Result<()> {
    with_experiment!(name, it => it.inject_faults(testbed, random).await)
}

/// Returns a random failure domain.
fn random_domain(random: &mut Pcg64) -> &'static str {
    runner::DOMAINS[random.random_range(0..runner::DOMAINS.len())]
}
