//! Weighted fair queueing: divides a node's capacity between teams.
//!
//! A [`Queue`] holds requests that wait for a slot. It uses start-time fair queueing: each team has a
//! start tag, a virtual time that advances by cost divided by weight with each request taken, and the
//! team with the smallest start tag is served next. A team that was idle resumes at the current virtual
//! time, so the other teams keep the capacity that it didn't use. Within a team, requests with higher
//! priority are served first, then those that arrived earlier.
//!
//! Requests run for a long time. If all slots were in use, a team that was idle would have to wait
//! until a request of another team ends. Teams beyond their share therefore leave some slots free.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use cuminward_core::{id, outcome};

/// Virtual time of one unit of cost at weight 1.
const UNIT: u64 = 1 << 20;

/// The newest interval has a weight of one in this many in the average service interval.
const SMOOTHING: u32 = 8;

/// Longer intervals count as idle time and don't change the service rate.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// Limit of the requests of one team that one call of [`Queue::offer`] offers.
const MAX_OFFERED: usize = 16;

/// Longest retry time in a refusal, in seconds.
const MAX_RETRY_SECONDS: u64 = 60;

/// Default part of the slots that a team far beyond its share leaves free, in thousandths.
pub const DEFAULT_HEADROOM_PERMILLE: u32 = 100;

/// Options of a queue.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Limit of the waiting requests of all teams.
    pub max_waiting: usize,
    /// Part of the slots that a team far beyond its share leaves free, in thousandths.
    pub headroom_permille: u32,
}

/// Capacity for which requests are taken from a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Total number of slots.
    pub slots: u32,
    /// Number of free slots.
    pub free: u32,
    /// Sum of the weights of all declared teams.
    pub weights: u32,
}

/// A waiting request.
#[derive(Debug, Clone)]
pub struct Entry<T> {
    /// Team of the caller.
    pub team: id::Team,
    /// Weight of the team.
    pub weight: u32,
    /// Limit of the team's requests that run or wait.
    pub limit: u32,
    /// Priority within the team; requests with higher priority are served first.
    pub priority: i32,
    /// Expected cost relative to other requests; at least 1.
    pub cost: u32,
    /// Time by which the request must have started, since the start of the process.
    pub deadline: Duration,
    /// Value that the caller attached to the request.
    pub item: T,
}

/// A request that was rejected, with the refusal for its caller.
#[derive(Debug)]
pub struct Rejected<T> {
    /// Value that was attached to the request.
    pub item: T,
    /// Refusal for the caller, with the outcome `not-run`.
    pub refusal: outcome::Refusal,
}

/// Weighted fair queue of waiting requests.
#[derive(Debug)]
pub struct Queue<T> {
    options: Options,
    teams: HashMap<id::Team, Team<T>>,
    /// Teams with waiting requests, by start tag.
    order: BTreeMap<(u64, id::Team), ()>,
    virtual_time: u64,
    /// Number of requests that have been queued.
    arrivals: u64,
    /// Number of requests that wait.
    waiting: usize,
    rate: Rate,
}

/// Position of a request within its team: priority, then order of arrival.
type Position = (Reverse<i32>, u64);

/// Running and waiting requests of a team.
#[derive(Debug)]
struct Team<T> {
    weight: u32,
    running: u32,
    start_tag: u64,
    waiting: BTreeMap<Position, Entry<T>>,
}

/// Service rate: the average time between two requests taken while others wait.
#[derive(Debug, Default)]
struct Rate {
    /// When the last request was taken, if others waited.
    last: Option<Duration>,
    interval: Option<Duration>,
}

impl Default for Options {
    fn default() -> Options {
        Options { max_waiting: 1024, headroom_permille: DEFAULT_HEADROOM_PERMILLE }
    }
}

/// Access
impl Capacity {
    /// Returns the headroom that covers a typical burst of the other teams, in thousandths of the
    /// slots: the default, or the square root of the slots if that is larger.
    pub fn headroom_permille(&self) -> u32 {
        let burst = self.slots.isqrt() * 1000 / self.slots.max(1);
        burst.max(DEFAULT_HEADROOM_PERMILLE)
    }

    /// Returns whether a slot is free for a team with this weight and number of running requests. A
    /// team within its share may use any free slot. The further a team is beyond its share, the more
    /// of the headroom it must leave free.
    pub fn admits(&self, weight: u32, running: u32, headroom_permille: u32) -> bool {
        let used = u64::from(running) * u64::from(self.weights);
        let share = u64::from(self.slots) * u64::from(weight);
        let headroom = u64::from(self.slots) * u64::from(headroom_permille) / 1000;
        let excess = (used + 1).saturating_sub(share.max(1));
        let keep_free = (headroom * excess).div_ceil(used.max(1));
        u64::from(self.free) > keep_free
    }
}

/// Life cycle
impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(options: Options) -> Queue<T> {
        Queue {
            options,
            teams: HashMap::new(),
            order: BTreeMap::new(),
            virtual_time: 0,
            arrivals: 0,
            waiting: 0,
            rate: Rate::default(),
        }
    }
}

/// Access
impl<T> Queue<T> {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the number of a team's requests that run or wait.
    pub fn in_flight(&self, team: &str) -> u32 {
        self.teams.get(team).map_or(0, |it| it.running + it.waiting.len() as u32)
    }

    /// Returns whether a slot is free for a team that has an entry.
    fn admits(&self, team: &str, capacity: &Capacity) -> bool {
        let state = &self.teams[team];
        capacity.admits(state.weight, state.running, self.options.headroom_permille)
    }

    /// Estimates how long a new request of the team would wait, from the recent service rate. Returns
    /// `None` while the rate isn't known.
    pub fn estimate_wait(&self, team: &str, weight: u32, priority: i32) -> Option<Duration> {
        let interval = self.rate.interval?;
        let weight = u64::from(weight.max(1));
        let known = self.teams.get(team);
        let ahead = known.map_or(0, |it| it.waiting.range(..(Reverse(priority), u64::MAX)).count());
        let others = self.order.keys().filter(|(_, it)| it != team);
        let others: u64 = others.map(|(_, it)| u64::from(self.teams[it].weight)).sum();
        let turns = (ahead as u64 + 1) * (weight + others) / weight;
        let turns = turns.min(self.waiting as u64 + 1);
        Some(interval.saturating_mul(u32::try_from(turns).unwrap_or(u32::MAX)))
    }
}

/// Mutation
impl<T> Queue<T> {
    /// Queues a request.
    ///
    /// # Errors
    ///
    /// [`Rejected`] if the team has too many requests in flight, if the queue is full, or if the
    /// request would miss its deadline at the recent service rate.
    pub fn push(&mut self, now: Duration, entry: Entry<T>) -> Result<(), Rejected<T>> {
        let wait = self.estimate_wait(&entry.team, entry.weight, entry.priority);
        if self.in_flight(&entry.team) >= entry.limit {
            return Err(rejected(entry, outcome::Cause::TeamLimit, wait));
        }
        let is_late = now + wait.unwrap_or_default() > entry.deadline;
        if self.waiting >= self.options.max_waiting || is_late {
            return Err(rejected(entry, outcome::Cause::Overloaded, wait));
        }
        self.insert(entry);
        Ok(())
    }

    /// Takes the request that is served next, if a slot is free for it. The request counts as running
    /// until [`finish`](Queue::finish).
    pub fn pop(&mut self, now: Duration, capacity: &Capacity) -> Option<Entry<T>> {
        self.offer(now, capacity, |_, admitted| admitted.then_some(())).map(|(entry, ())| entry)
    }

    /// Offers the waiting requests in the order of service, a few of each team, and takes the first
    /// one that is accepted. `accept` is passed whether a slot is free for the request's team; it
    /// returns `None` to leave the request in its position. The taken request counts as running until
    /// [`finish`](Queue::finish).
    pub fn offer<R>(
        &mut self,
        now: Duration,
        capacity: &Capacity,
        mut accept: impl FnMut(&Entry<T>, bool) -> Option<R>,
    ) -> Option<(Entry<T>, R)> {
        let (key, position, accepted) = self.order.keys().find_map(|key| {
            let admitted = self.admits(&key.1, capacity);
            let mut offered = self.teams[&key.1].waiting.iter().take(MAX_OFFERED);
            let (position, accepted) =
                offered.find_map(|(position, it)| Some((*position, accept(it, admitted)?)))?;
            Some((key.clone(), position, accepted))
        })?;
        Some((self.remove(now, key, position), accepted))
    }

    /// Removes a waiting request and advances its team's start tag.
    fn remove(&mut self, now: Duration, key: (u64, id::Team), position: Position) -> Entry<T> {
        self.order.remove(&key);
        let (start_tag, name) = key;
        let team = self.teams.get_mut(&name).expect("every team in the order has an entry");
        let entry = team.waiting.remove(&position).expect("the request was offered");
        self.virtual_time = self.virtual_time.max(start_tag);
        team.running += 1;
        team.start_tag = start_tag + u64::from(entry.cost.max(1)) * UNIT / u64::from(team.weight);
        if !team.waiting.is_empty() {
            self.order.insert((team.start_tag, name), ());
        }
        self.waiting -= 1;
        self.rate.record(now, self.waiting > 0);
        entry
    }

    /// Changes the part of the slots that a team far beyond its share leaves free.
    pub fn set_headroom(&mut self, permille: u32) {
        self.options.headroom_permille = permille;
    }

    /// Sets the number of a team's running requests, if the caller counts them itself.
    pub fn set_running(&mut self, team: &str, running: u32) {
        if let Some(it) = self.teams.get_mut(team) {
            it.running = running;
        }
        self.remove_if_idle(team);
    }

    /// Records the end of one running request of the team.
    pub fn finish(&mut self, team: &str) {
        let Some(it) = self.teams.get_mut(team) else { return };
        it.running = it.running.saturating_sub(1);
        self.remove_if_idle(team);
    }

    /// Removes a team without running or waiting requests once the virtual time has reached its start
    /// tag. Earlier, the team would lose its start tag and be served too soon.
    fn remove_if_idle(&mut self, team: &str) {
        let Some(it) = self.teams.get(team) else { return };
        let is_reached = it.start_tag <= self.virtual_time;
        if it.running == 0 && it.waiting.is_empty() && is_reached {
            self.teams.remove(team);
        }
    }

    /// Removes all requests whose deadline has passed and returns them with their refusals.
    pub fn expire(&mut self, now: Duration) -> Vec<Rejected<T>> {
        self.take_if(|it| it.deadline < now)
            .into_iter()
            .map(|it| rejected(it, outcome::Cause::Overloaded, Some(Duration::from_secs(1))))
            .collect()
    }

    /// Removes and returns all requests that fulfil a condition, such as those whose caller has
    /// disconnected.
    pub fn take_if(&mut self, mut condition: impl FnMut(&Entry<T>) -> bool) -> Vec<Entry<T>> {
        let mut taken = Vec::new();
        for (name, team) in &mut self.teams {
            if team.waiting.is_empty() {
                continue;
            }
            taken.extend(team.waiting.extract_if(.., |_, it| condition(it)).map(|(_, it)| it));
            if team.waiting.is_empty() {
                self.order.remove(&(team.start_tag, name.clone()));
            }
        }
        self.waiting -= taken.len();
        taken
    }

    /// Adds a request at its position within its team.
    fn insert(&mut self, entry: Entry<T>) {
        self.arrivals += 1;
        self.waiting += 1;
        let position = (Reverse(entry.priority), self.arrivals);
        let name = entry.team.clone();
        let team = self.teams.entry(name.clone()).or_insert_with(Team::new);
        team.weight = entry.weight.max(1);
        if team.waiting.is_empty() {
            team.start_tag = team.start_tag.max(self.virtual_time);
            self.order.insert((team.start_tag, name), ());
        }
        team.waiting.insert(position, entry);
    }
}

impl<T> Team<T> {
    fn new() -> Team<T> {
        Team { weight: 1, running: 0, start_tag: 0, waiting: BTreeMap::new() }
    }
}

impl Rate {
    /// Records that a request was taken. The time to the next one counts only while others wait.
    fn record(&mut self, now: Duration, more_waiting: bool) {
        if let Some(last) = self.last {
            let newest = now.saturating_sub(last);
            if newest <= MAX_INTERVAL {
                let old = self.interval.unwrap_or(newest);
                self.interval = Some((old * (SMOOTHING - 1) + newest) / SMOOTHING);
            }
        }
        self.last = more_waiting.then_some(now);
    }
}

/// Rejects a request with a refusal that suggests to retry after the estimated wait.
fn rejected<T>(entry: Entry<T>, cause: outcome::Cause, wait: Option<Duration>) -> Rejected<T> {
    let message = match cause {
        outcome::Cause::TeamLimit => "the team has too many requests in flight",
        _ => "there is no capacity before the deadline",
    };
    let seconds = wait.unwrap_or_default().as_secs().clamp(1, MAX_RETRY_SECONDS);
    let refusal = outcome::Refusal::not_run(cause, message).retry_after(seconds as u32);
    Rejected { item: entry.item, refusal }
}
