//! The owner's side of admission: slots of one upstream, granted to nodes.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::{host, id};

use super::{Limits, Options, Ramp, Upstream, account::Account, message, reserve};

/// Part of the lease after which a report renews it: one in this many.
const RENEWALS: u32 = 4;

/// Time between two invitations of a node that hasn't joined.
const INVITATION_INTERVAL: Duration = Duration::from_millis(100);

/// Hands out the slots of one upstream to the nodes of its failure domain.
#[derive(Debug)]
pub struct Owner {
    upstream: Upstream,
    session: message::Session,
    options: Options,
    ramp: Ramp,
    listed: Vec<id::Node>,
    accounts: BTreeMap<id::Node, Account>,
    seq: u64,
    /// Latest start of each incarnation that holders know of, until the owner is informed.
    claims: Option<BTreeMap<id::Incarnation, Duration>>,
    doubt: Option<Duration>,
    queued: bool,
    invited: Option<Duration>,
}

/// What an owner is told.
#[derive(Debug, Clone)]
pub enum Input {
    /// The nodes that may send work changed: all that the platform lists, and those that left the
    /// list less than its lag ago.
    Listed(Vec<id::Node>),
    /// A node reports what it holds.
    Holdings(id::Node, message::Holdings),
    /// A node has ended and holds nothing any more.
    Ended(id::Node),
    /// A node has turned to another owner.
    Release(id::Node, message::Release),
    /// The upstream was asked for its state.
    Observed {
        /// Its incarnation.
        incarnation: id::Incarnation,
        /// Its load, for engines.
        load: Option<host::Load>,
        /// When it was asked, since the start of the process.
        asked: Duration,
    },
    /// The upstream fails everything: it is taken to have started cold.
    Failing,
    /// Operators changed what the upstream bears.
    Limits(Limits),
    /// Time has passed.
    Tick,
}

/// What an owner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a grant to a node.
    Grant(id::Node, message::Grant),
    /// Invite a node to join the session.
    Invite(id::Node, message::Invitation),
    /// Ask the upstream for its state now.
    Probe,
}

/// Life cycle
impl Owner {
    /// Makes an owner that knows nothing; sessions of the same node have to rise.
    pub fn new(
        upstream: Upstream,
        session: message::Session,
        options: Options,
        now: Duration,
    ) -> Owner {
        Owner {
            upstream,
            session,
            options,
            ramp: Ramp::new(options.limits, now),
            listed: Vec::new(),
            accounts: BTreeMap::new(),
            seq: 0,
            claims: Some(BTreeMap::new()),
            doubt: None,
            queued: false,
            invited: None,
        }
    }
}

/// Access
impl Owner {
    /// Requests that the upstream may run at the same time now.
    pub fn limit(&self, now: Duration) -> u32 {
        self.ramp.limit(now)
    }

    /// Slots that nodes may be using, reserves included.
    pub fn committed(&self) -> u32 {
        self.accounts.values().map(Account::committed).sum()
    }

    /// Tells whether every listed node has joined the session, so that slots above the reserves
    /// may be granted.
    pub fn all_joined(&self) -> bool {
        let joined = |it: &id::Node| self.accounts.get(it).is_some_and(|it| it.joined);
        !self.listed.is_empty() && self.listed.iter().all(joined)
    }
}

/// Mutation
impl Owner {
    /// Takes an input into account.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Listed(nodes) => self.list(now, nodes),
            Input::Holdings(node, it) => self.note(now, &node, &it, &mut outputs),
            Input::Ended(node) => self.end(&node),
            Input::Release(node, it) => self.release(&node, &it),
            Input::Observed { incarnation, load, asked } => {
                self.observe(now, incarnation, load, asked);
            }
            Input::Failing => self.restart(now),
            Input::Limits(limits) => self.limits(limits),
            Input::Tick => self.invite(now, &mut outputs),
        }
        self.expire(now);
        self.distribute(now, &mut outputs);
        outputs
    }

    fn list(&mut self, now: Duration, nodes: Vec<id::Node>) {
        self.listed = nodes;
        for node in &self.listed {
            let new = || Account::new(now);
            self.accounts.entry(node.clone()).or_insert_with(new);
        }
        for (node, account) in &mut self.accounts {
            account.listed = self.listed.contains(node);
        }
        self.reserves();
    }

    /// Frees everything that an ended node had.
    fn end(&mut self, node: &str) {
        if !self.listed.iter().any(|it| it == node) {
            self.accounts.remove(node);
        }
    }

    fn limits(&mut self, limits: Limits) {
        self.options.limits = limits;
        self.ramp.set_limits(limits);
        self.reserves();
        for account in self.accounts.values_mut() {
            account.target = account.target.min(limits.slots);
        }
    }

    fn reserves(&mut self) {
        let total = self.options.reserved();
        for (node, account) in &mut self.accounts {
            account.entitled = reserve::share(total, &self.listed, &self.upstream, node);
            account.reserve = account.reserve.min(account.entitled);
        }
    }

    fn note(
        &mut self,
        now: Duration,
        node: &id::Node,
        holdings: &message::Holdings,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(it) = &holdings.started {
            self.claim(now, it);
        }
        let account = self.accounts.entry(node.clone()).or_default();
        if (holdings.join, holdings.report) <= (account.join, account.report) {
            return;
        }
        let fell = account.join != holdings.join || account.reset != holdings.reset;
        if fell {
            account.revoke();
        }
        account.take(now, holdings);
        if holdings.session != Some(self.session) {
            let invitation = self.invitation();
            outputs.push(Output::Invite(node.clone(), invitation));
            return;
        }
        let fell = fell || !account.joined;
        account.joined = true;
        account.acknowledge(holdings.ack);
        if fell && self.doubt.replace(now).is_none() {
            outputs.push(Output::Probe);
        }
        if fell || account.wants_grant(self.options.lease / RENEWALS) {
            self.grant(now, node, outputs);
        }
    }

    fn release(&mut self, node: &str, release: &message::Release) {
        let Some(account) = self.accounts.get_mut(node) else { return };
        if account.join != release.join {
            return;
        }
        account.held = release.in_use.max(release.reserve);
        account.reserve_held = release.reserve;
        account.in_use = release.in_use;
        account.waiting = 0;
        account.revoke();
    }

    /// Keeps the latest start of each incarnation that a holder knows of.
    fn claim(&mut self, now: Duration, started: &message::Started) {
        let Some(claims) = &mut self.claims else { return };
        let start = now.saturating_sub(started.age);
        let latest = claims.entry(started.incarnation).or_insert(start);
        *latest = start.max(*latest);
    }

    /// Takes over from the holders how long the upstream has been warming up.
    fn learn(&mut self, now: Duration) {
        let Some(incarnation) = self.ramp.incarnation() else { return };
        let Some(claims) = self.claims.take() else { return };
        if let Some(&start) = claims.get(&incarnation) {
            self.ramp.backdate(now, now.saturating_sub(start));
        }
    }

    fn observe(
        &mut self,
        now: Duration,
        incarnation: id::Incarnation,
        load: Option<host::Load>,
        asked: Duration,
    ) {
        if self.ramp.observe(now, incarnation) {
            self.restart(now);
        }
        if self.doubt.is_some_and(|it| asked >= it) {
            self.doubt = None;
        }
        self.queued = load.is_some_and(|it| it.queued > 0);
    }

    fn restart(&mut self, now: Duration) {
        self.ramp.restart(now);
        self.claims = None;
        self.accounts.values_mut().for_each(|it| it.target = 0);
    }

    fn invite(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        if self.invited.is_some_and(|it| now < it + INVITATION_INTERVAL) {
            return;
        }
        self.invited = Some(now);
        if self.doubt.is_some() {
            outputs.push(Output::Probe);
        }
        let invitation = self.invitation();
        let missing = self.accounts.iter().filter(|(_, it)| !it.joined);
        let invite = |(node, _): (&id::Node, _)| Output::Invite(node.clone(), invitation.clone());
        outputs.extend(missing.map(invite));
    }

    fn invitation(&self) -> message::Invitation {
        message::Invitation { upstream: self.upstream.clone(), session: self.session }
    }

    /// Frees what silent nodes no longer can be using: their grants have lapsed, and the requests
    /// that began before have ended.
    fn expire(&mut self, now: Duration) {
        let longest = self.options.lease + self.options.max_run_time;
        for account in self.accounts.values_mut() {
            if account.joined && now > account.heard + longest {
                account.lapse();
            }
        }
        let over = |it: &Account| it.committed() == 0 || now > it.heard + longest;
        self.accounts.retain(|_, it| it.listed || !over(it));
    }

    /// Decides what each node is to have and sends grants where that changed.
    fn distribute(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let ready = self.all_joined() && self.doubt.is_none();
        if ready {
            self.learn(now);
        }
        let limit = self.ramp.limit(now);
        if ready {
            self.restore(limit);
            let free = self.reserve(limit.saturating_sub(self.committed()));
            match self.raise(free, Account::demand) {
                Some(free) => drop(self.raise(free, Account::comfort)),
                None => self.reclaim(limit),
            }
        }
        let changed = self.accounts.iter().filter(|(_, it)| it.joined && it.changed());
        let changed: Vec<id::Node> = changed.map(|(node, _)| node.clone()).collect();
        for node in changed {
            outputs.retain(|it| !matches!(it, Output::Grant(to, _) if *to == node));
            self.grant(now, &node, outputs);
        }
    }

    /// Gives up taking back slots that turned out to be in use, up to a max-min fair part.
    fn restore(&mut self, limit: u32) {
        let fair = self.fair(limit);
        for account in self.accounts.values_mut().filter(|it| it.overrun()) {
            account.target = account.target.max(account.in_use.min(fair));
        }
    }

    /// Largest part for which the sum of all demands, each cut to the part, is within the limit.
    fn fair(&self, limit: u32) -> u32 {
        fair(self.accounts.values().map(Account::demand).collect(), limit)
    }

    /// Raises reserves towards the nodes' shares as far as others have given theirs up; returns the
    /// free slots that are left.
    fn reserve(&mut self, mut free: u32) -> u32 {
        let reserved: u32 = self.accounts.values().map(Account::reserved).sum();
        let mut rest = self.options.reserved().saturating_sub(reserved);
        for account in self.accounts.values_mut().filter(|it| it.joined && it.listed) {
            let wanted = account.entitled.saturating_sub(account.reserved()).min(rest);
            let reserve = (account.reserved() + wanted).min(account.entitled);
            let cost = reserve.saturating_sub(account.committed());
            if wanted > 0 && cost <= free {
                free -= cost;
                rest -= wanted;
                account.reserve = reserve;
            }
        }
        free
    }

    /// Gives free slots to the nodes that want more, the poorest first; returns the slots that are
    /// left, or `None` when some node still wants more.
    fn raise(&mut self, mut free: u32, want: impl Fn(&Account) -> u32) -> Option<u32> {
        let most = self.options.limits.slots;
        loop {
            let wanting = self.accounts.values_mut().filter(|it| it.joined && it.listed);
            let wanting = wanting.filter(|it| it.level() < want(it).min(most));
            let Some(poorest) = wanting.min_by_key(|it| it.level()) else { return Some(free) };
            let level = poorest.level() + 1;
            let cost = level.saturating_sub(poorest.committed());
            if cost > free || cost > 0 && self.queued {
                return None;
            }
            free -= cost;
            poorest.target = level;
        }
    }

    /// Takes back as many slots as poor nodes lack, from the nodes that have most beyond what they
    /// need or beyond a max-min fair part. The remainder of the division stays where it is, unless
    /// some node has less than its part.
    fn reclaim(&mut self, limit: u32) {
        let fair = self.fair(limit);
        let joined = self.accounts.values().filter(|it| it.joined && it.listed);
        let lack: u32 = joined.map(|it| it.demand().min(fair).saturating_sub(it.level())).sum();
        let most = if lack > 0 { fair } else { fair + 1 };
        let levels: u32 = self.accounts.values().map(Account::level).sum();
        let wanted: u32 = self.accounts.values().map(Account::lack).sum();
        let returning = self.accounts.values().map(Account::returning).sum();
        let need = lack.max(wanted).max(levels.saturating_sub(limit));
        let mut need = need.saturating_sub(returning);
        while need > 0 {
            let richest = self.accounts.values_mut().max_by_key(|it| it.surplus(most));
            let Some(richest) = richest.filter(|it| it.surplus(most) > 0) else { return };
            let taken = richest.surplus(most).min(need);
            richest.target = richest.level() - taken;
            need -= taken;
        }
    }

    fn grant(&mut self, now: Duration, node: &id::Node, outputs: &mut Vec<Output>) {
        let started = self.ramp.started(now);
        let Some(account) = self.accounts.get_mut(node) else { return };
        self.seq += 1;
        account.promise(self.seq);
        let grant = message::Grant {
            upstream: self.upstream.clone(),
            session: self.session,
            join: account.join,
            seq: self.seq,
            reset: account.reset,
            slots: account.level(),
            reserve: account.reserve,
            echo: account.echo,
            started,
        };
        outputs.push(Output::Grant(node.clone(), grant));
    }
}

/// Largest part for which the sum of all demands, each cut to the part, is within the limit.
fn fair(mut demands: Vec<u32>, limit: u32) -> u32 {
    demands.sort_unstable();
    let mut rest = limit;
    let count = demands.len() as u32;
    for (left, demand) in (1..=count).rev().zip(demands) {
        if demand.saturating_mul(left) > rest {
            return (rest / left).max(1);
        }
        rest -= demand;
    }
    limit
}
