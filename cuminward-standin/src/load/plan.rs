//! Arrival times, teams and prompts of a run's requests, drawn at random from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{Options, Team};

/// A request to send.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    /// Intended start, as the time since the start of the run.
    pub(super) after: Duration,
    /// Team that sends the request.
    pub(super) team: Team,
    /// Number of the request in the run.
    pub(super) number: u64,
    /// Prompt of the request.
    pub(super) prompt: String,
}

/// Iterator over all arrivals of a run, ordered by time.
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
        let team = self.draw_team()?;
        let number = self.number;
        self.number += 1;
        let prompt = self.draw_prompt(&team, number);
        Some(Arrival { after: self.after, team, number, prompt })
    }
}

impl Plan<'_> {
    fn draw_team(&mut self) -> Option<Team> {
        let teams = &self.options.teams;
        let total: f64 = teams.iter().map(|it| it.weight).sum();
        let mut remaining = self.random.random::<f64>() * total;
        let chosen = teams.iter().find(|it| {
            remaining -= it.weight;
            remaining < 0.0
        });
        chosen.or(teams.last()).cloned()
    }

    fn draw_prompt(&mut self, team: &Team, number: u64) -> String {
        let shared = format!("The rules of {} hold here. ", team.name);
        let shared = shared.chars().cycle().take(self.options.shared_bytes);
        let unique = format!("Question {number} of run {}. ", self.options.seed);
        let unique = unique.chars().cycle().take(self.options.unique_bytes);
        let salt: u64 = self.random.random();
        shared.chain(unique).chain(format!("{salt:016x}").chars()).collect()
    }
}
