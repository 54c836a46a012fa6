//! Arrivals and prompts, drawn from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{Options, Team};

/// A request that is to start.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    /// Time since the start of the run.
    pub(super) after: Duration,
    /// The calling team.
    pub(super) team: Team,
    /// Number of the request in the run.
    pub(super) number: u64,
    /// What the user says.
    pub(super) prompt: String,
}

/// All arrivals of a run, in order.
pub(super) struct Plan<'a> {
    options: &'a Options,
    random: Pcg64,
    after: Duration,
    number: u64,
}

/// Life cycle
impl<'a> Plan<'a> {
    pub(super) fn new(options: &'a Options) -> Plan<'a> {
        let random = Pcg64::seed_from_u64(options.seed);
        Plan { options, random, after: Duration::ZERO, number: 0 }
    }
}

impl Iterator for Plan<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.random.random();
        let gap = -(1.0 - uniform).ln() / self.options.rate;
        self.after += Duration::from_secs_f64(gap);
        if self.after >= self.options.duration {
            return None;
        }
        let team = self.team()?;
        let number = self.number;
        self.number += 1;
        let prompt = self.prompt(&team, number);
        Some(Arrival { after: self.after, team, number, prompt })
    }
}

impl Plan<'_> {
    fn team(&mut self) -> Option<Team> {
        let teams = &self.options.teams;
        let total: f64 = teams.iter().map(|it| it.weight).sum();
        let mut left = self.random.random::<f64>() * total;
        let chosen = teams.iter().find(|it| {
            left -= it.weight;
            left < 0.0
        });
        chosen.or(teams.last()).cloned()
    }

    fn prompt(&mut self, team: &Team, number: u64) -> String {
        let shared = format!("The rules of {} hold here. ", team.name);
        let shared = shared.chars().cycle().take(self.options.shared_bytes);
        let unique = format!("Question {number} of run {}. ", self.options.seed);
        let unique = unique.chars().cycle().take(self.options.unique_bytes);
        let salt: u64 = self.random.random();
        shared.chain(unique).chain(format!("{salt:016x}").chars()).collect()
    }
}
