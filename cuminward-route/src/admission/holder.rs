//! A node's side of admission: slots that it may hand out.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use cuminward_core::id;

use super::{Upstream, message};

/// Shortest time between two reports, unless the owner waits for one.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which an unchanged need for slots is reported again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two reports that give idle slots back.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// Idle slots that a holder keeps for the next requests.
const SPARE: u32 = 1;

/// Part of the lease after which a grant is renewed: one in this many.
const RENEWALS: u32 = 3;

/// Slots of one upstream at one node. The fast path is lock-free; messages take a lock that only
/// this upstream's messages share.
#[derive(Debug)]
pub struct Holder {
    upstream: Upstream,
    lease: Duration,
    /// Slots in use (upper half) and allowance (lower half), changed together.
    slots: AtomicU64,
    reserve: AtomicU32,
    lapse_ms: AtomicU64,
    waiting: AtomicU32,
    control: Mutex<Control>,
}

/// A slot in use; dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    holder: Arc<Holder>,
}

#[derive(Debug)]
struct Control {
    owner: Option<id::Node>,
    join: message::Join,
    session: Option<message::Session>,
    ack: u64,
    report: u64,
    reset: u64,
    started: Option<(message::Started, Duration)>,
    last: Option<Last>,
    urgent: bool,
}

/// The last report.
#[derive(Debug, Clone, Copy)]
struct Last {
    at: Duration,
    held: u32,
    full: bool,
    waiting: u32,
}

/// Life cycle
impl Holder {
    /// Makes a holder without an owner. `epoch` is larger for later starts of the same node, such
    /// as the wall time of the start in seconds.
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
            last: None,
            urgent: true,
        };
        Holder {
            upstream,
            lease,
            slots: AtomicU64::new(pack(0, reserve)),
            reserve: AtomicU32::new(reserve),
            lapse_ms: AtomicU64::new(0),
            waiting: AtomicU32::new(0),
            control: Mutex::new(control),
        }
    }
}

/// Access
impl Holder {
    /// Takes a slot, if one is free.
    pub fn acquire(self: &Arc<Self>, now: Duration) -> Option<Slot> {
        let lapsed = now.as_millis() as u64 >= self.lapse_ms.load(Ordering::Acquire);
        let reserve = self.reserve.load(Ordering::Acquire);
        let take = |it: u64| {
            let (in_use, allowance) = unpack(it);
            let limit = if lapsed { allowance.min(reserve) } else { allowance };
            (in_use < limit).then(|| pack(in_use + 1, allowance))
        };
        self.slots.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).ok()?;
        Some(Slot { holder: Arc::clone(self) })
    }

    /// Slots in use.
    pub fn in_use(&self) -> u32 {
        unpack(self.slots.load(Ordering::Acquire)).0
    }

    /// Slots that may be used in all while the lease is valid.
    pub fn allowance(&self) -> u32 {
        unpack(self.slots.load(Ordering::Acquire)).1
    }

    /// Time since the upstream began to warm up, as far as a grant told.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let (started, at) = self.lock().started?;
        Some(started.age + now.saturating_sub(at))
    }

    /// Owner that the holder follows.
    pub fn owner(&self) -> Option<id::Node> {
        self.lock().owner.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Control> {
        self.control.lock().expect("no code panics while it has the lock")
    }
}

/// Mutation
impl Holder {
    /// Says how many requests wait for a slot.
    pub fn set_waiting(&self, waiting: u32) {
        self.waiting.store(waiting, Ordering::Release);
    }

    /// Lowers the slots that need no grant; only the owner raises them.
    pub fn lower_reserve(&self, reserve: u32) {
        let _control = self.lock();
        let old = self.reserve.fetch_min(reserve, Ordering::AcqRel);
        self.allow(|it| if it <= old { it.min(reserve) } else { it });
    }

    /// Turns to an owner, and gives up what the former one granted; the release is for the former.
    pub fn follow(&self, owner: Option<&str>) -> Option<(id::Node, message::Release)> {
        let mut control = self.lock();
        if control.owner.as_deref() == owner {
            return None;
        }
        let join = control.join;
        let in_use = self.fall();
        control.join += 1;
        control.session = None;
        control.ack = 0;
        control.urgent = true;
        let former = std::mem::replace(&mut control.owner, owner.map(str::to_owned))?;
        let reserve = self.reserve.load(Ordering::Acquire);
        Some((former, message::Release { upstream: self.upstream.clone(), join, in_use, reserve }))
    }

    /// Falls back to the reserve: call this when a connection to the upstream is lost, and before a
    /// connection is opened while there is none.
    pub fn on_disconnect(&self) {
        let mut control = self.lock();
        self.fall();
        control.started = None;
        control.reset += 1;
        control.urgent = true;
    }

    /// Joins a session of the owner that the holder follows.
    pub fn on_invitation(&self, from: &str, invitation: &message::Invitation) {
        let mut control = self.lock();
        let newer = control.session.is_none_or(|it| it < invitation.session);
        if control.owner.as_deref() != Some(from) || !newer {
            return;
        }
        self.fall();
        control.session = Some(invitation.session);
        control.ack = 0;
        control.urgent = true;
    }

    /// Takes a grant over, unless it is outdated.
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
        let former = self.allow(|_| slots).1;
        let lapse = (grant.echo + self.lease).as_millis() as u64;
        self.lapse_ms.store(lapse, Ordering::Release);
        control.urgent |= slots < former;
    }

    /// Reports to the owner what is held, if a report is due. Call this regularly, after messages
    /// and when a request finds no slot.
    pub fn report(&self, now: Duration) -> Option<(id::Node, message::Holdings)> {
        let mut control = self.lock();
        let owner = control.owner.clone()?;
        let (in_use, allowance) = unpack(self.slots.load(Ordering::Acquire));
        let idle = self.idle(&control, now, in_use, allowance);
        if !idle && !self.due(&control, now, in_use, allowance) {
            return None;
        }
        let (in_use, allowance) = if idle { self.give_back() } else { (in_use, allowance) };
        control.report += 1;
        let waiting = self.waiting.load(Ordering::Acquire);
        control.last =
            Some(Last { at: now, held: in_use.max(allowance), full: in_use >= allowance, waiting });
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
            started: control.started.map(|(it, at)| aged(it, now.saturating_sub(at))),
        };
        Some((owner, holdings))
    }

    fn due(&self, control: &Control, now: Duration, in_use: u32, allowance: u32) -> bool {
        let Some(last) = control.last else { return true };
        let since = now.saturating_sub(last.at);
        let reserve = self.reserve.load(Ordering::Acquire);
        let waiting = self.waiting.load(Ordering::Acquire);
        let freed = in_use.max(allowance) < last.held;
        let differs = waiting.next_power_of_two() != last.waiting.next_power_of_two();
        let filled = in_use >= allowance && in_use > 0 && !last.full;
        let short = freed || filled || differs || control.session.is_none();
        control.urgent
            || short && since >= MIN_INTERVAL
            || waiting > 0 && since >= REPEAT_INTERVAL
            || in_use.max(allowance) > reserve && since >= self.lease / RENEWALS
    }

    /// Tells whether more slots are idle than the next requests need.
    fn idle(&self, control: &Control, now: Duration, in_use: u32, allowance: u32) -> bool {
        let keep = (in_use + SPARE).max(self.reserve.load(Ordering::Acquire));
        let since = control.last.map_or(Duration::ZERO, |it| now.saturating_sub(it.at));
        let wanted = self.waiting.load(Ordering::Acquire) > 0;
        !wanted && control.session.is_some() && allowance > keep && since >= IDLE_INTERVAL
    }

    /// Gives idle slots back; returns the slots in use and the allowance that remains.
    fn give_back(&self) -> (u32, u32) {
        let reserve = self.reserve.load(Ordering::Acquire);
        let keep = |in_use: u32, allowance: u32| allowance.min((in_use + SPARE).max(reserve));
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

    /// Gives up everything above the reserve; returns the slots in use.
    fn fall(&self) -> u32 {
        let reserve = self.reserve.load(Ordering::Acquire);
        self.allow(|_| reserve).0
    }

    /// Changes the allowance; returns the slots in use and the former allowance.
    fn allow(&self, change: impl Fn(u32) -> u32) -> (u32, u32) {
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
    /// Where the slot came from.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.holder.slots.fetch_sub(pack(1, 0), Ordering::AcqRel);
    }
}

fn pack(in_use: u32, allowance: u32) -> u64 {
    u64::from(in_use) << 32 | u64::from(allowance)
}

fn unpack(slots: u64) -> (u32, u32) {
    ((slots >> 32) as u32, slots as u32)
}

fn aged(started: message::Started, by: Duration) -> message::Started {
    message::Started { age: started.age + by, ..started }
}
