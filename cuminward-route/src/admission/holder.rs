//! A node's side of admission: the slots that the node may use for its requests.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use cuminward_core::id;

use super::{Upstream, message};

/// Shortest time between two reports, unless the report is urgent.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a report is repeated while requests wait for slots.
const WAITING_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time from one report to another that gives back idle slots.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Idle slots that a holder keeps for the next requests.
const SPARE_SLOTS: u32 = 1;

/// Renewals of a grant within one lease: a report is due after this fraction of the lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Slots of one upstream at one node. Acquiring and freeing slots is lock-free; messages take a lock
/// that is used only by messages about this upstream.
#[derive(Debug)]
pub struct Holder {
    upstream: Upstream,
    lease: Duration,
    /// Slots in use (upper 32 bits) and allowance (lower 32 bits), in one atomic so that both change
    /// together.
    slots: AtomicU64,
    /// Slots that need no grant.
    reserve: AtomicU32,
    /// When the lease expires, in milliseconds since the start of the process.
    expiry_ms: AtomicU64,
    waiting: AtomicU32,
    control: Mutex<Control>,
}

/// A slot in use; dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    holder: Arc<Holder>,
}

/// State of the exchange of messages with the owner; [`message::Holdings`] describes the numbers.
#[derive(Debug)]
struct Control {
    owner: Option<id::Node>,
    join: message::Join,
    session: Option<message::Session>,
    ack: u64,
    report: u64,
    reset: u64,
    /// Start of the upstream from the last grant, and when the grant was received.
    started: Option<(message::Started, Duration)>,
    last_report: Option<Report>,
    /// Whether the next report is due at once.
    urgent: bool,
}

/// Contents of a report that decide when the next one is due.
#[derive(Debug, Clone, Copy)]
struct Report {
    at: Duration,
    held: u32,
    /// Whether all slots were in use.
    full: bool,
    waiting: u32,
}

/// Life cycle
impl Holder {
    /// Creates a holder without an owner. `epoch` must grow with each start of the same node, such as
    /// the wall time of the start in seconds.
    pub fn new(upstream: Upstream, reserve: u32, lease: Duration, epoch: u32) -> Holder {
        let start = u64::from(epoch) << 32;
        let control = Control {
            owner: None,
            join: start,
            session: None,
            ack: 0,
            report: start,
            reset: start,
            started: None,
            last_report: None,
            urgent: true,
        };
        Holder {
            upstream,
            lease,
            slots: AtomicU64::new(pack(0, reserve)),
            reserve: AtomicU32::new(reserve),
            expiry_ms: AtomicU64::new(0),
            waiting: AtomicU32::new(0),
            control: Mutex::new(control),
        }
    }
}

/// Access
impl Holder {
    /// Acquires a slot, or returns `None` if none is free. After the lease has expired only the
    /// reserve may be used.
    pub fn acquire(self: &Arc<Self>, now: Duration) -> Option<Slot> {
        let expired = now.as_millis() as u64 >= self.expiry_ms.load(Ordering::Acquire);
        let reserve = self.reserve.load(Ordering::Acquire);
        let take = |it: u64| {
            let (in_use, allowance) = unpack(it);
            let limit = if expired { allowance.min(reserve) } else { allowance };
            (in_use < limit).then(|| pack(in_use + 1, allowance))
        };
        self.slots.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).ok()?;
        Some(Slot { holder: Arc::clone(self) })
    }

    /// Returns the number of slots in use.
    pub fn in_use(&self) -> u32 {
        unpack(self.slots.load(Ordering::Acquire)).0
    }

    /// Returns the number of slots that may be used in total while the lease is valid.
    pub fn allowance(&self) -> u32 {
        unpack(self.slots.load(Ordering::Acquire)).1
    }

    /// Returns the time since the upstream began to warm up, if a grant stated it.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let (started, at) = self.lock().started?;
        Some(started.age + now.saturating_sub(at))
    }

    /// Returns the owner that the holder follows.
    pub fn owner(&self) -> Option<id::Node> {
        self.lock().owner.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Control> {
        self.control.lock().expect("no code panics while it has the lock")
    }
}

/// Mutation
impl Holder {
    /// Sets the number of requests that wait for a slot.
    pub fn set_waiting(&self, waiting: u32) {
        self.waiting.store(waiting, Ordering::Release);
    }

    /// Lowers the reserve to `reserve` if it is larger; only the owner raises it.
    pub fn lower_reserve(&self, reserve: u32) {
        let _control = self.lock();
        let old = self.reserve.fetch_min(reserve, Ordering::AcqRel);
        self.update_allowance(|it| if it <= old { it.min(reserve) } else { it });
    }

    /// Switches to another owner and gives up the grants of the former one. Returns the former owner
    /// with the release to send to it, or `None` if there was none or the owner is the same.
    pub fn follow(&self, owner: Option<&str>) -> Option<(id::Node, message::Release)> {
        let mut control = self.lock();
        if control.owner.as_deref() == owner {
            return None;
        }
        let join = control.join;
        let in_use = self.fall_back();
        control.join += 1;
        control.session = None;
        control.ack = 0;
        control.urgent = true;
        let former = std::mem::replace(&mut control.owner, owner.map(str::to_owned))?;
        let reserve = self.reserve.load(Ordering::Acquire);
        Some((former, message::Release { upstream: self.upstream.clone(), join, in_use, reserve }))
    }

    /// Falls back to the reserve. Call this when a connection to the upstream is lost, and before a
    /// connection is opened while there is none, since the upstream may have restarted cold.
    pub fn on_disconnect(&self) {
        let mut control = self.lock();
        self.fall_back();
        control.started = None;
        control.reset += 1;
        control.urgent = true;
    }

    /// Joins the owner's session and falls back to the reserve, unless the invitation is from another
    /// node or the session isn't newer.
    pub fn on_invitation(&self, from: &str, invitation: &message::Invitation) {
        let mut control = self.lock();
        let newer = control.session.is_none_or(|it| it < invitation.session);
        if control.owner.as_deref() != Some(from) || !newer {
            return;
        }
        self.fall_back();
        control.session = Some(invitation.session);
        control.ack = 0;
        control.urgent = true;
    }

    /// Applies a grant, unless it is outdated.
    pub fn on_grant(&self, now: Duration, from: &str, grant: &message::Grant) {
        let mut control = self.lock();
        let current = control.owner.as_deref() == Some(from)
            && control.session == Some(grant.session)
            && control.join == grant.join
            && control.reset == grant.reset
            && control.ack < grant.seq;
        if !current {
            return;
        }
        control.ack = grant.seq;
        control.started = grant.started.map(|it| (it, now));
        self.reserve.store(grant.reserve, Ordering::Release);
        let slots = grant.slots.max(grant.reserve);
        let former = self.update_allowance(|_| slots).1;
        let expiry = (grant.echo + self.lease).as_millis() as u64;
        self.expiry_ms.store(expiry, Ordering::Release);
        control.urgent |= slots < former;
    }

    /// Returns a report for the owner if one is due. Call this regularly, after messages and when a
    /// request finds no free slot.
    pub fn report(&self, now: Duration) -> Option<(id::Node, message::Holdings)> {
        let mut control = self.lock();
        let owner = control.owner.clone()?;
        let (in_use, allowance) = unpack(self.slots.load(Ordering::Acquire));
        let idle = self.has_idle_slots(&control, now, in_use, allowance);
        if !idle && !self.is_report_due(&control, now, in_use, allowance) {
            return None;
        }
        let (in_use, allowance) = if idle { self.give_back_idle() } else { (in_use, allowance) };
        control.report += 1;
        let waiting = self.waiting.load(Ordering::Acquire);
        control.last_report = Some(Report {
            at: now,
            held: in_use.max(allowance),
            full: in_use >= allowance,
            waiting,
        });
        control.urgent = false;
        let holdings = message::Holdings {
            upstream: self.upstream.clone(),
            join: control.join,
            session: control.session,
            report: control.report,
            ack: control.ack,
            reset: control.reset,
            in_use,
            allowance,
            reserve: self.reserve.load(Ordering::Acquire),
            waiting,
            sent: now,
            started: control.started.map(|(it, at)| add_age(it, now.saturating_sub(at))),
        };
        Some((owner, holdings))
    }

    /// Returns whether a report is due: at once if urgent, soon if the slots or the number of waiting
    /// requests have changed much, and otherwise to repeat a request for slots or to renew the lease.
    fn is_report_due(&self, control: &Control, now: Duration, in_use: u32, allowance: u32) -> bool {
        let Some(last) = control.last_report else { return true };
        let since = now.saturating_sub(last.at);
        let reserve = self.reserve.load(Ordering::Acquire);
        let waiting = self.waiting.load(Ordering::Acquire);
        let freed = in_use.max(allowance) < last.held;
        let differs = waiting.next_power_of_two() != last.waiting.next_power_of_two();
        let filled = in_use >= allowance && in_use > 0 && !last.full;
        let has_changed = freed || filled || differs || control.session.is_none();
        control.urgent
            || has_changed && since >= MIN_REPORT_INTERVAL
            || waiting > 0 && since >= WAITING_REPORT_INTERVAL
            || in_use.max(allowance) > reserve && since >= self.lease / RENEWALS_PER_LEASE
    }

    /// Returns whether the holder has idle slots to give back: more than the next requests need.
    fn has_idle_slots(
        &self,
        control: &Control,
        now: Duration,
        in_use: u32,
        allowance: u32,
    ) -> bool {
        let keep = (in_use + SPARE_SLOTS).max(self.reserve.load(Ordering::Acquire));
        let since = control.last_report.map_or(Duration::ZERO, |it| now.saturating_sub(it.at));
        let wanted = self.waiting.load(Ordering::Acquire) > 0;
        !wanted && control.session.is_some() && allowance > keep && since >= IDLE_REPORT_INTERVAL
    }

    /// Gives idle slots back. Returns the slots in use and the remaining allowance.
    fn give_back_idle(&self) -> (u32, u32) {
        let reserve = self.reserve.load(Ordering::Acquire);
        let keep = |in_use: u32, allowance: u32| allowance.min((in_use + SPARE_SLOTS).max(reserve));
        let update = |it: u64| {
            let (in_use, allowance) = unpack(it);
            Some(pack(in_use, keep(in_use, allowance)))
        };
        let former = self
            .slots
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, update)
            .expect("the update always gives a value");
        let (in_use, allowance) = unpack(former);
        (in_use, keep(in_use, allowance))
    }

    /// Gives up all slots above the reserve. Returns the slots in use.
    fn fall_back(&self) -> u32 {
        let reserve = self.reserve.load(Ordering::Acquire);
        self.update_allowance(|_| reserve).0
    }

    /// Changes the allowance. Returns the slots in use and the former allowance.
    fn update_allowance(&self, change: impl Fn(u32) -> u32) -> (u32, u32) {
        let update = |it: u64| {
            let (in_use, allowance) = unpack(it);
            Some(pack(in_use, change(allowance)))
        };
        let former = self
            .slots
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, update)
            .expect("the update always gives a value");
        unpack(former)
    }
}

/// Access
impl Slot {
    /// Returns the holder that the slot belongs to.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.holder.slots.fetch_sub(pack(1, 0), Ordering::AcqRel);
    }
}

/// Packs the slots in use and the allowance into one word.
fn pack(in_use: u32, allowance: u32) -> u64 {
    u64::from(in_use) << 32 | u64::from(allowance)
}

/// Unpacks the slots in use and the allowance.
fn unpack(slots: u64) -> (u32, u32) {
    ((slots >> 32) as u32, slots as u32)
}

/// Adds the time that has passed since a start was received.
fn add_age(started: message::Started, by: Duration) -> message::Started {
    message::Started { age: started.age + by, ..started }
}
