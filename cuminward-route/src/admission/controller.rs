//! All of a node's admission: its holders, and the owners of the upstreams that it owns.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cuminward_core::{host, id};

use super::{Holder, Input, Options, Output, Owner, Upstream, message, reserve};

/// Longest time until all nodes have seen a change of the platform's host list.
const LIST_LAG: Duration = Duration::from_secs(30);

/// Admission at one node. It is driven by one task; requests use the holders directly.
#[derive(Debug)]
pub struct Controller {
    name: id::Node,
    epoch: u32,
    sessions: u32,
    listed: Vec<id::Node>,
    listed_since: Option<Duration>,
    live: Vec<id::Node>,
    places: BTreeMap<Upstream, Place>,
    outbox: BTreeMap<id::Node, message::Batch>,
    probes: Vec<Upstream>,
}

/// One upstream as this node sees it.
#[derive(Debug)]
struct Place {
    options: Options,
    holder: Arc<Holder>,
    owner: Option<Owner>,
}

/// What a node wants done.
#[derive(Debug, Default)]
pub struct Work {
    /// Messages, one for each node that there is something for.
    pub batches: Vec<(id::Node, message::Batch)>,
    /// Upstreams whose state is wanted at once.
    pub probes: Vec<Upstream>,
}

/// Life cycle
impl Controller {
    /// Makes a node without upstreams. `epoch` rises with each start of the same node, such as the
    /// wall time of the start in seconds.
    pub fn new(name: id::Node, epoch: u32) -> Controller {
        Controller {
            name,
            epoch,
            sessions: 0,
            listed: Vec::new(),
            listed_since: None,
            live: Vec::new(),
            places: BTreeMap::new(),
            outbox: BTreeMap::new(),
            probes: Vec::new(),
        }
    }
}

/// Access
impl Controller {
    /// The holder of an upstream.
    pub fn holder(&self, upstream: &str) -> Option<&Arc<Holder>> {
        self.places.get(upstream).map(|it| &it.holder)
    }

    /// The owner of an upstream, if this node owns it.
    pub fn owner(&self, upstream: &str) -> Option<&Owner> {
        self.places.get(upstream)?.owner.as_ref()
    }

    /// Tells whether all other nodes have seen that this one is listed.
    fn settled(&self, now: Duration) -> bool {
        self.listed_since.is_some_and(|it| now >= it + LIST_LAG)
    }

    fn share(&self, upstream: &str, options: &Options) -> u32 {
        reserve::share(options.reserved(), &self.listed, upstream, &self.name)
    }

    /// Upstreams that this node owns.
    pub fn owned(&self) -> impl Iterator<Item = &Upstream> {
        self.places.iter().filter(|(_, it)| it.owner.is_some()).map(|(upstream, _)| upstream)
    }
}

/// Mutation
impl Controller {
    /// Sets the nodes of the failure domain. `listed` are all that may send work: every node in the
    /// platform's list, leaving ones included, and those that left it less than its lag ago. `live`
    /// are those of them that may own upstreams now: they answer and don't shut down.
    pub fn set_nodes(&mut self, now: Duration, listed: Vec<id::Node>, live: Vec<id::Node>) {
        self.listed = listed;
        self.live = live;
        if self.listed.contains(&self.name) {
            self.listed_since.get_or_insert(now);
        } else {
            self.listed_since = None;
        }
        let upstreams: Vec<Upstream> = self.places.keys().cloned().collect();
        for upstream in upstreams {
            self.arrange(now, &upstream);
        }
    }

    /// Adds an upstream, or changes what it bears, and returns its holder.
    pub fn set_upstream(&mut self, now: Duration, upstream: &str, options: Options) -> Arc<Holder> {
        let (epoch, lease) = (self.epoch, options.lease);
        let reserve = if self.settled(now) { self.share(upstream, &options) } else { 0 };
        let new = || Place {
            options,
            holder: Arc::new(Holder::new(upstream.to_owned(), reserve, lease, epoch)),
            owner: None,
        };
        let place = self.places.entry(upstream.to_owned()).or_insert_with(new);
        let holder = Arc::clone(&place.holder);
        let changed = place.options != options;
        place.options = options;
        if changed {
            self.step(now, upstream, Input::Limits(options.limits));
        }
        self.arrange(now, upstream);
        holder
    }

    /// Forgets an upstream that is gone; slots in use stay valid.
    pub fn remove_upstream(&mut self, upstream: &str) {
        self.places.remove(upstream);
    }

    /// Takes an upstream's report into account, if this node owns it. `asked` is when it was asked.
    pub fn observe(
        &mut self,
        now: Duration,
        upstream: &str,
        incarnation: id::Incarnation,
        load: Option<host::Load>,
        asked: Duration,
    ) {
        self.step(now, upstream, Input::Observed { incarnation, load, asked });
    }

    /// Notes that an upstream fails everything: every holder falls back, the ramp starts anew.
    pub fn on_upstream_failing(&mut self, now: Duration, upstream: &str) {
        if let Some(place) = self.places.get(upstream) {
            place.holder.on_disconnect();
        }
        self.step(now, upstream, Input::Failing);
    }

    /// Notes that a node has ended regularly: it holds no slots and sends no more work. It must not be
    /// among the listed nodes any more.
    pub fn on_node_ended(&mut self, now: Duration, node: &str) {
        let upstreams: Vec<Upstream> = self.owned().cloned().collect();
        for upstream in upstreams {
            self.step(now, &upstream, Input::Ended(node.to_owned()));
        }
    }

    /// Takes the messages of another node into account.
    pub fn receive(&mut self, now: Duration, batch: message::Batch) {
        let from = batch.node;
        for it in batch.invitations {
            if let Some(place) = self.places.get(&it.upstream) {
                place.holder.on_invitation(&from, &it);
            }
        }
        for it in batch.grants {
            if let Some(place) = self.places.get(&it.upstream) {
                place.holder.on_grant(now, &from, &it);
            }
            self.report(now, &it.upstream);
        }
        for it in batch.releases {
            let upstream = it.upstream.clone();
            self.step(now, &upstream, Input::Release(from.clone(), it));
        }
        for it in batch.holdings {
            let upstream = it.upstream.clone();
            self.step(now, &upstream, Input::Holdings(from.clone(), it));
        }
    }

    /// Lets time pass for all upstreams; call this every few tens of milliseconds.
    pub fn tick(&mut self, now: Duration) {
        let upstreams: Vec<Upstream> = self.owned().cloned().collect();
        for upstream in upstreams {
            self.step(now, &upstream, Input::Tick);
        }
        let upstreams: Vec<Upstream> = self.places.keys().cloned().collect();
        for upstream in upstreams {
            self.report(now, &upstream);
        }
    }

    /// Reports what is held of one upstream, if due; call this when a request finds no slot.
    pub fn report(&mut self, now: Duration, upstream: &str) {
        let Some(place) = self.places.get(upstream) else { return };
        let Some((owner, holdings)) = place.holder.report(now) else { return };
        if owner == self.name {
            self.step(now, upstream, Input::Holdings(owner, holdings));
        } else {
            self.post(owner).holdings.push(holdings);
        }
    }

    /// Takes what is to be sent and done.
    pub fn take_work(&mut self) -> Work {
        let batches = std::mem::take(&mut self.outbox).into_iter().collect();
        let probes = std::mem::take(&mut self.probes);
        Work { batches, probes }
    }

    /// Follows the right owner. This node's own session ends in the same step in which its holder
    /// turns away from it.
    fn arrange(&mut self, now: Duration, upstream: &str) {
        let live = self.live.iter().map(String::as_str);
        let owner = super::owner(live, upstream).map(str::to_owned);
        let Some(place) = self.places.get_mut(upstream) else { return };
        let total = place.options.reserved();
        place.holder.lower_reserve(reserve::share(total, &self.listed, upstream, &self.name));
        let release = place.holder.follow(owner.as_deref());
        if owner.as_deref() != Some(&self.name) {
            place.owner = None;
        } else if place.owner.is_none() {
            self.sessions += 1;
            let session = u64::from(self.epoch) << 32 | u64::from(self.sessions);
            place.owner = Some(Owner::new(upstream.to_owned(), session, place.options, now));
        }
        let listed = self.listed.clone();
        if let Some((former, release)) = release.filter(|(it, _)| *it != self.name) {
            self.post(former).releases.push(release);
        }
        self.step(now, upstream, Input::Listed(listed));
        self.report(now, upstream);
    }

    fn step(&mut self, now: Duration, upstream: &str, input: Input) {
        let Some(place) = self.places.get_mut(upstream) else { return };
        let Some(owner) = &mut place.owner else { return };
        let outputs = owner.step(now, input);
        let holder = Arc::clone(&place.holder);
        let mut own = false;
        for output in outputs {
            own |= self.deliver(now, upstream, &holder, output);
        }
        if own {
            self.report(now, upstream);
        }
    }

    /// Delivers an output; tells whether it was for this node's own holder.
    fn deliver(
        &mut self,
        now: Duration,
        upstream: &str,
        holder: &Arc<Holder>,
        output: Output,
    ) -> bool {
        match output {
            Output::Grant(node, it) if node == self.name => holder.on_grant(now, &node, &it),
            Output::Invite(node, it) if node == self.name => holder.on_invitation(&node, &it),
            Output::Grant(node, it) => {
                self.post(node).grants.push(it);
                return false;
            }
            Output::Invite(node, it) => {
                self.post(node).invitations.push(it);
                return false;
            }
            Output::Probe => {
                self.probes.push(upstream.to_owned());
                return false;
            }
        }
        true
    }

    fn post(&mut self, node: id::Node) -> &mut message::Batch {
        let new = || message::Batch { node: self.name.clone(), ..message::Batch::default() };
        self.outbox.entry(node).or_insert_with(new)
    }
}
