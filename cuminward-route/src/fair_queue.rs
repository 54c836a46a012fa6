//! Fair shares of a node's capacity between teams.
//!
//! A [`Queue`] holds requests that wait for a slot. Teams are served by start-time fair queueing:
//! each has a virtual time that advances by cost over weight with each request taken, and the team
//! with the smallest one goes next. A team that returns from idleness starts at the current virtual
//! time, so capacity that it did not use has been lent to the others. Within a team larger
//! priorities go first, then earlier arrivals.
//!
//! Requests run long, so a team that returns would wait for another's request to end if every slot
//! were lent. Teams beyond their share therefore leave some slots free.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use cuminward_core::{id, outcome};

/// Virtual time of one unit of cost at weight 1.
const UNIT: u64 = 1 << 20;

/// Weight of the newest interval in the smoothed service interval: one in this many.
const SMOOTHING: u32 = 8;

/// Intervals longer than this count as idleness and don't change the service rate.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// Waiting requests of one team that are offered at one time.
const OFFERED: usize = 16;

/// Longest retry time that a refusal gives, in seconds.
const MAX_RETRY_SECONDS: u64 = 60;

/// Part of the slots that a team far beyond its share leaves free, in thousandths.
pub const DEFAULT_HEADROOM_PERMILLE: u32 = 100;

/// Bounds of a queue.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Requests of all teams that may wait.
    pub max_waiting: usize,
    /// Part of the slots that a team far beyond its share leaves free, in thousandths.
    pub headroom_permille: u32,
}

/// Slots that requests can be taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Slots in all.
    pub slots: u32,
    /// Slots that are free.
    pub free: u32,
    /// Sum of the weights of all declared teams.
    pub weights: u32,
}

/// A request that asks for a place.
#[derive(Debug, Clone)]
pub struct Entry<T> {
    /// Team of the caller.
    pub team: id::Team,
    /// Share of the team, relative to others.
    pub weight: u32,
    /// Requests that the team may have in flight, waiting ones included.
    pub limit: u32,
    /// Larger priorities of the same team go first.
    pub priority: i32,
    /// Expected work relative to other requests; at least 1.
    pub cost: u32,
    /// When the request has to have begun, since the start of the process.
    pub deadline: Duration,
    /// What waits.
    pub item: T,
}

/// A request that got no place, with the refusal for its caller.
#[derive(Debug)]
pub struct Rejected<T> {
    /// What was to wait.
    pub item: T,
    /// Refusal for the caller; it says that nothing ran.
    pub refusal: outcome::Refusal,
}

/// Requests that wait, by team.
#[derive(Debug)]
pub struct Queue<T> {
    options: Options,
    teams: HashMap<id::Team, Team<T>>,
    order: BTreeMap<(u64, id::Team), ()>,
    virtual_time: u64,
    arrivals: u64,
    waiting: usize,
    rate: Rate,
}

/// Order of a request within its team.
type Place = (Reverse<i32>, u64);

#[derive(Debug)]
struct Team<T> {
    weight: u32,
    running: u32,
    start: u64,
    waiting: BTreeMap<Place, Entry<T>>,
}

/// Smoothed time between requests taken while others wait.
#[derive(Debug, Default)]
struct Rate {
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
    /// Headroom that holds a usual burst of the other teams, in thousandths: the default, or the
    /// square root of the slots where that is more.
    pub fn headroom_permille(&self) -> u32 {
        let burst = self.slots.isqrt() * 1000 / self.slots.max(1);
        burst.max(DEFAULT_HEADROOM_PERMILLE)
    }

    /// Tells whether a slot is free for a team with so many requests running. Within its share any
    /// slot is; the further a team is beyond its share, the more of the headroom has to stay free.
    pub fn admits(&self, weight: u32, running: u32, headroom_permille: u32) -> bool {
        let used = u64::from(running) * u64::from(self.weights);
        let share = u64::from(self.slots) * u64::from(weight);
        let headroom = u64::from(self.slots) * u64::from(headroom_permille) / 1000;
        let beyond = (used + 1).saturating_sub(share.max(1));
        let keep = (headroom * beyond).div_ceil(used.max(1));
        u64::from(self.free) > keep
    }
}

/// Life cycle
impl<T> Queue<T> {
    /// Makes an empty queue.
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
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Requests of a team that run or wait.
    pub fn in_flight(&self, team: &str) -> u32 {
        self.teams.get(team).map_or(0, |it| it.running + it.waiting.len() as u32)
    }

    /// Tells whether a slot is free for a team that is known.
    fn admits(&self, team: &str, capacity: &Capacity) -> bool {
        let it = &self.teams[team];
        capacity.admits(it.weight, it.running, self.options.headroom_permille)
    }

    /// Time that a new request of the team would wait, from the recent service rate; `None` while
    /// the rate isn't known.
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
    /// Lets a request wait, or refuses it: when its team or the queue has too much in flight, or
    /// when it would miss its deadline at the recent service rate.
    pub fn push(&mut self, now: Duration, entry: Entry<T>) -> Result<(), Rejected<T>> {
        let wait = self.estimate_wait(&entry.team, entry.weight, entry.priority);
        if self.in_flight(&entry.team) >= entry.limit {
            return Err(rejected(entry, outcome::Cause::TeamLimit, wait));
        }
        let late = now + wait.unwrap_or_default() > entry.deadline;
        if self.waiting >= self.options.max_waiting || late {
            return Err(rejected(entry, outcome::Cause::Overloaded, wait));
        }
        self.insert(entry);
        Ok(())
    }

    /// Takes the request that goes next, if a slot is free for it; its team counts it as running
    /// until [`finish`](Queue::finish).
    pub fn pop(&mut self, now: Duration, capacity: &Capacity) -> Option<Entry<T>> {
        self.offer(now, capacity, |_, admitted| admitted.then_some(())).map(|(entry, ())| entry)
    }

    /// Offers the waiting requests in turn, a few of each team, and takes the first one that is
    /// accepted. `accept` is told whether a slot is free for the request's team, and gives `None`
    /// to leave the request in its place. The team counts the request as running until
    /// [`finish`](Queue::finish).
    pub fn offer<R>(
        &mut self,
        now: Duration,
        capacity: &Capacity,
        mut accept: impl FnMut(&Entry<T>, bool) -> Option<R>,
    ) -> Option<(Entry<T>, R)> {
        let (turn, place, accepted) = self.order.keys().find_map(|turn| {
            let admitted = self.admits(&turn.1, capacity);
            let mut offered = self.teams[&turn.1].waiting.iter().take(OFFERED);
            let (place, accepted) =
                offered.find_map(|(place, it)| Some((*place, accept(it, admitted)?)))?;
            Some((turn.clone(), place, accepted))
        })?;
        Some((self.remove(now, turn, place), accepted))
    }

    /// Takes a waiting request out and advances its team's virtual time.
    fn remove(&mut self, now: Duration, turn: (u64, id::Team), place: Place) -> Entry<T> {
        self.order.remove(&turn);
        let (start, name) = turn;
        let team = self.teams.get_mut(&name).expect("a team in the order is known");
        let entry = team.waiting.remove(&place).expect("the request was offered");
        self.virtual_time = self.virtual_time.max(start);
        team.running += 1;
        team.start = start + u64::from(entry.cost.max(1)) * UNIT / u64::from(team.weight);
        if !team.waiting.is_empty() {
            self.order.insert((team.start, name), ());
        }
        self.waiting -= 1;
        self.rate.note(now, self.waiting > 0);
        entry
    }

    /// Changes the part of the slots that a team far beyond its share leaves free.
    pub fn set_headroom(&mut self, permille: u32) {
        self.options.headroom_permille = permille;
    }

    /// Sets how many requests of a team run, where that is counted elsewhere.
    pub fn set_running(&mut self, team: &str, running: u32) {
        if let Some(it) = self.teams.get_mut(team) {
            it.running = running;
        }
        self.settle(team);
    }

    /// Counts one running request of the team as ended.
    pub fn finish(&mut self, team: &str) {
        let Some(it) = self.teams.get_mut(team) else { return };
        it.running = it.running.saturating_sub(1);
        self.settle(team);
    }

    /// Forgets a team that neither runs nor waits, once its virtual time has passed.
    fn settle(&mut self, team: &str) {
        let Some(it) = self.teams.get(team) else { return };
        let settled = it.start <= self.virtual_time;
        if it.running == 0 && it.waiting.is_empty() && settled {
            self.teams.remove(team);
        }
    }

    /// Takes all requests whose deadline has passed; they are to be refused as not run.
    pub fn expire(&mut self, now: Duration) -> Vec<Rejected<T>> {
        self.take_if(|it| it.deadline < now)
            .into_iter()
            .map(|it| rejected(it, outcome::Cause::Overloaded, Some(Duration::from_secs(1))))
            .collect()
    }

    /// Takes all requests that fulfil a condition, such as those whose caller has left.
    pub fn take_if(&mut self, mut condition: impl FnMut(&Entry<T>) -> bool) -> Vec<Entry<T>> {
        let mut taken = Vec::new();
        for (name, team) in &mut self.teams {
            if team.waiting.is_empty() {
                continue;
            }
            taken.extend(team.waiting.extract_if(.., |_, it| condition(it)).map(|(_, it)| it));
            if team.waiting.is_empty() {
                self.order.remove(&(team.start, name.clone()));
            }
        }
        self.waiting -= taken.len();
        taken
    }

    fn insert(&mut self, entry: Entry<T>) {
        self.arrivals += 1;
        self.waiting += 1;
        let place = (Reverse(entry.priority), self.arrivals);
        let name = entry.team.clone();
        let team = self.teams.entry(name.clone()).or_insert_with(Team::new);
        team.weight = entry.weight.max(1);
        if team.waiting.is_empty() {
            team.start = team.start.max(self.virtual_time);
            self.order.insert((team.start, name), ());
        }
        team.waiting.insert(place, entry);
    }
}

impl<T> Team<T> {
    fn new() -> Team<T> {
        Team { weight: 1, running: 0, start: 0, waiting: BTreeMap::new() }
    }
}

impl Rate {
    /// Notes that a request was taken; the time to the next one counts only while others wait.
    fn note(&mut self, now: Duration, more_waiting: bool) {
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

fn rejected<T>(entry: Entry<T>, cause: outcome::Cause, wait: Option<Duration>) -> Rejected<T> {
    let message = match cause {
        outcome::Cause::TeamLimit => "the team has too many requests in flight",
        _ => "there is no capacity before the deadline",
    };
    let seconds = wait.unwrap_or_default().as_secs().clamp(1, MAX_RETRY_SECONDS);
    let refusal = outcome::Refusal::not_run(cause, message).retry_after(seconds as u32);
    Rejected { item: entry.item, refusal }
}
