//! Admission controller of a node: its holders, and the owners of the upstreams that it owns.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cuminward_core::{host, id};

use super::{Holder, Input, Options, Output, Owner, Upstream, message, reserve};

/// Longest time until all nodes have seen a change of the platform's host list.
const MAX_LIST_LAG: Duration = Duration::from_secs(30);

/// Admission controller of one node. One task drives it; requests use the holders directly.
#[derive(Debug)]
pub struct Controller {
    name: id::Node,
    epoch: u32,
    /// Number of sessions that this node has started as an owner.
    sessions: u32,
    listed: Vec<id::Node>,
    /// Since when this node has been listed.
    listed_since: Option<Duration>,
    live: Vec<id::Node>,
    entries: BTreeMap<Upstream, Entry>,
    outbox: BTreeMap<id::Node, message::Batch>,
    probes: Vec<Upstream>,
}

/// Admission state of one upstream.
#[derive(Debug)]
struct Entry {
    options: Options,
    holder: Arc<Holder>,
    owner: Option<Owner>,
}

/// Messages and probes that a controller wants to be sent.
#[derive(Debug, Default)]
pub struct Work {
    /// Messages, one batch for each receiving node.
    pub batches: Vec<(id::Node, message::Batch)>,
    /// Upstreams to probe at once.
    pub probes: Vec<Upstream>,
}

/// Life cycle
impl Controller {
    /// Creates a controller without upstreams. `epoch` must grow with each start of the same node,
    /// such as the wall time of the start in seconds.
    pub fn new(name: id::Node, epoch: u32) -> Controller {
        Controller {
            name,
            epoch,
            sessions: 0,
            listed: Vec::new(),
            listed_since: None,
            live: Vec::new(),
            entries: BTreeMap::new(),
            outbox: BTreeMap::new(),
            probes: Vec::new(),
        }
    }
}

/// Access
impl Controller {
    /// Returns the holder of an upstream.
    pub fn holder(&self, upstream: &str) -> Option<&Arc<Holder>> {
        self.entries.get(upstream).map(|it| &it.holder)
    }

    /// Returns the owner of an upstream, if this node owns it.
    pub fn owner(&self, upstream: &str) -> Option<&Owner> {
        self.entries.get(upstream)?.owner.as_ref()
    }

    /// Returns whether this node has been listed for so long that all other nodes have seen it.
    fn is_seen_by_all(&self, now: Duration) -> bool {
        self.listed_since.is_some_and(|it| now >= it + MAX_LIST_LAG)
    }

    /// Returns this node's share of the upstream's reserved slots.
    fn reserve_share(&self, upstream: &str, options: &Options) -> u32 {
        reserve::share(options.reserved(), &self.listed, upstream, &self.name)
    }

    /// Returns the upstreams that this node owns.
    pub fn owned(&self) -> impl Iterator<Item = &Upstream> {
        self.entries.iter().filter(|(_, it)| it.owner.is_some()).map(|(upstream, _)| upstream)
    }
}

/// Mutation
impl Controller {
    /// Sets the nodes of the failure domain. `listed` holds every node that may send work: those on
    /// the platform's list, including ones that are leaving, and those that left it so recently that
    /// others may still see them there. `live` holds the listed nodes that may own upstreams now: they
    /// answer and aren't shutting down.
    pub fn set_nodes(&mut self, now: Duration, listed: Vec<id::Node>, live: Vec<id::Node>) {
        self.listed = listed;
        self.live = live;
        if self.listed.contains(&self.name) {
            self.listed_since.get_or_insert(now);
        } else {
            self.listed_since = None;
        }
        let upstreams: Vec<Upstream> = self.entries.keys().cloned().collect();
        for upstream in upstreams {
            self.update_owner(now, &upstream);
        }
    }

    /// Adds an upstream or changes its options, and returns its holder. A new upstream has a reserve
    /// only once all nodes have seen that this one is listed, since before that others may count the
    /// same slots as theirs.
    pub fn set_upstream(&mut self, now: Duration, upstream: &str, options: Options) -> Arc<Holder> {
        let (epoch, lease) = (self.epoch, options.lease);
        let reserve =
            if self.is_seen_by_all(now) { self.reserve_share(upstream, &options) } else { 0 };
        let new = || Entry {
            options,
            holder: Arc::new(Holder::new(upstream.to_owned(), reserve, lease, epoch)),
            owner: None,
        };
        let entry = self.entries.entry(upstream.to_owned()).or_insert_with(new);
        let holder = Arc::clone(&entry.holder);
        let changed = entry.options != options;
        entry.options = options;
        if changed {
            self.step(now, upstream, Input::Limits(options.limits));
        }
        self.update_owner(now, upstream);
        holder
    }

    /// Removes an upstream; slots in use stay valid.
    pub fn remove_upstream(&mut self, upstream: &str) {
        self.entries.remove(upstream);
    }

    /// Applies a report of an upstream, if this node owns the upstream. `asked` is when the report was
    /// requested.
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

    /// Handles an upstream that fails all requests: this node's holder falls back to its reserve. If
    /// this node owns the upstream, the slow start begins again and all grants are withdrawn.
    pub fn on_upstream_failing(&mut self, now: Duration, upstream: &str) {
        if let Some(entry) = self.entries.get(upstream) {
            entry.holder.on_disconnect();
        }
        self.step(now, upstream, Input::Failing);
    }

    /// Frees the slots of a node that has shut down in an orderly way, so it has no requests left and
    /// sends no more. The node must not be listed any more.
    pub fn on_node_ended(&mut self, now: Duration, node: &str) {
        let upstreams: Vec<Upstream> = self.owned().cloned().collect();
        for upstream in upstreams {
            self.step(now, &upstream, Input::Ended(node.to_owned()));
        }
    }

    /// Processes the messages of another node.
    pub fn receive(&mut self, now: Duration, batch: message::Batch) {
        let from = batch.node;
        for it in batch.invitations {
            if let Some(entry) = self.entries.get(&it.upstream) {
                entry.holder.on_invitation(&from, &it);
            }
        }
        for it in batch.grants {
            if let Some(entry) = self.entries.get(&it.upstream) {
                entry.holder.on_grant(now, &from, &it);
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

    /// Processes what is due for all upstreams. Call this every few tens of milliseconds.
    pub fn tick(&mut self, now: Duration) {
        let upstreams: Vec<Upstream> = self.owned().cloned().collect();
        for upstream in upstreams {
            self.step(now, &upstream, Input::Tick);
        }
        let upstreams: Vec<Upstream> = self.entries.keys().cloned().collect();
        for upstream in upstreams {
            self.report(now, &upstream);
        }
    }

    /// Reports the holdings of one upstream if a report is due. Call this when a request finds no free
    /// slot.
    pub fn report(&mut self, now: Duration, upstream: &str) {
        let Some(entry) = self.entries.get(upstream) else { return };
        let Some((owner, holdings)) = entry.holder.report(now) else { return };
        if owner == self.name {
            self.step(now, upstream, Input::Holdings(owner, holdings));
        } else {
            self.outgoing(owner).holdings.push(holdings);
        }
    }

    /// Takes the messages and probes to send.
    pub fn take_work(&mut self) -> Work {
        let batches = std::mem::take(&mut self.outbox).into_iter().collect();
        let probes = std::mem::take(&mut self.probes);
        Work { batches, probes }
    }

    /// Recomputes the owner of an upstream and makes the holder follow it. If this node was the owner,
    /// its session ends in the same step in which its holder switches to another owner.
    fn update_owner(&mut self, now: Duration, upstream: &str) {
        let live = self.live.iter().map(String::as_str);
        let owner = super::owner(live, upstream).map(str::to_owned);
        let Some(entry) = self.entries.get_mut(upstream) else { return };
        let total = entry.options.reserved();
        entry.holder.lower_reserve(reserve::share(total, &self.listed, upstream, &self.name));
        let release = entry.holder.follow(owner.as_deref());
        if owner.as_deref() != Some(&self.name) {
            entry.owner = None;
        } else if entry.owner.is_none() {
            self.sessions += 1;
            let session = u64::from(self.epoch) << 32 | u64::from(self.sessions);
            entry.owner = Some(Owner::new(upstream.to_owned(), session, entry.options, now));
        }
        let listed = self.listed.clone();
        if let Some((former, release)) = release.filter(|(it, _)| *it != self.name) {
            self.outgoing(former).releases.push(release);
        }
        self.step(now, upstream, Input::Listed(listed));
        self.report(now, upstream);
    }

    /// Passes an input to the upstream's owner, if this node owns it, and delivers the outputs.
    fn step(&mut self, now: Duration, upstream: &str, input: Input) {
        let Some(entry) = self.entries.get_mut(upstream) else { return };
        let Some(owner) = &mut entry.owner else { return };
        let outputs = owner.step(now, input);
        let holder = Arc::clone(&entry.holder);
        let mut is_report_due = false;
        for output in outputs {
            is_report_due |= self.deliver(now, upstream, &holder, output);
        }
        if is_report_due {
            self.report(now, upstream);
        }
    }

    /// Delivers an output. Returns whether it was for this node's own holder.
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
                self.outgoing(node).grants.push(it);
                return false;
            }
            Output::Invite(node, it) => {
                self.outgoing(node).invitations.push(it);
                return false;
            }
            Output::Probe => {
                self.probes.push(upstream.to_owned());
                return false;
            }
        }
        true
    }

    /// Returns the outgoing batch for a node.
    fn outgoing(&mut self, node: id::Node) -> &mut message::Batch {
        let new = || message::Batch { node: self.name.clone(), ..message::Batch::default() };
        self.outbox.entry(node).or_insert_with(new)
    }
}
