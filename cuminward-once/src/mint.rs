//! Minting and verification of idempotency keys that need no record.
//!
//! A minted key contains the name of the node that issued it and a MAC under a secret of the issuing
//! process. Only that process accepts the key, and it remembers each accepted key until the key
//! expires, so the request of a key is started at most once, independently of the log and its outages.
//! After a restart the process has another secret and rejects all earlier keys.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use cuminward_core::id;

use crate::claim::Reason;

/// First part of a minted key: its format and version.
const PREFIX: &str = "cw1";

/// Length of the truncated MAC in a key, in bytes.
const MAC_BYTES: usize = 16;

/// MAC secret of one process.
pub type Secret = [u8; blake3::KEY_LEN];

/// Random part of a key; unique among the keys of a process.
pub type Nonce = u128;

/// Settings of the minter.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Time for which a key is valid after it was issued.
    pub window: Duration,
    /// Maximum number of accepted keys that are remembered.
    pub max_keys: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options { window: Duration::from_secs(600), max_keys: 100_000 }
    }
}

/// Issues and verifies keys.
#[derive(Debug)]
pub struct Minter {
    node: id::Node,
    secret: Secret,
    options: Options,
    /// Nonces of the accepted keys.
    accepted: HashSet<Nonce>,
    /// Accepted keys in the order of their acceptance.
    order: VecDeque<Accepted>,
    /// Latest time that was passed in.
    now: Duration,
}

/// An accepted key.
#[derive(Debug)]
struct Accepted {
    at: Duration,
    nonce: Nonce,
}

/// Fields of a minted key, as parsed by [`parse`].
#[derive(Debug, Clone, PartialEq)]
pub struct Key {
    /// Node that issued the key.
    pub node: id::Node,
    /// Time at which the key was issued, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Random part.
    pub nonce: Nonce,
    /// MAC in hexadecimal.
    pub mac: String,
}

/// Result of verifying a minted key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Redemption {
    /// The key is used for the first time; its request may run at this node.
    First,
    /// A request with the key was started before.
    Repeated,
    /// The key was not accepted; the request must not run.
    Refused(Reason),
}

/// Life cycle
impl Minter {
    /// Creates a minter. The secret must be random and new for each process.
    pub fn new(node: id::Node, secret: Secret, options: Options) -> Minter {
        let accepted = HashSet::new();
        Minter { node, secret, options, accepted, order: VecDeque::new(), now: Duration::ZERO }
    }
}

/// Access
impl Minter {
    /// Issues a key for a team. `now` is the time since the Unix epoch.
    pub fn mint(&self, now: Duration, team: &str, nonce: Nonce) -> id::Key {
        let at_ms = now.max(self.now).as_millis() as u64;
        let mac = self.mac(team, at_ms, nonce);
        format!("{PREFIX}.{}.{at_ms}.{nonce:x}.{mac}", self.node)
    }

    /// Returns the truncated MAC of a key, in hexadecimal.
    fn mac(&self, team: &str, at_ms: u64, nonce: Nonce) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        hasher.update(&at_ms.to_le_bytes());
        hasher.update(&nonce.to_le_bytes());
        hasher.update(team.as_bytes());
        hex::encode(&hasher.finalize().as_bytes()[..MAC_BYTES])
    }
}

/// Mutation
impl Minter {
    /// Verifies a minted key and marks it as used. `now` is the time since the Unix epoch; if the clock
    /// went back, the latest earlier value is used.
    pub fn redeem(&mut self, now: Duration, team: &str, key: &Key) -> Redemption {
        self.now = self.now.max(now);
        self.expire();
        let expected = self.mac(team, key.at_ms, key.nonce);
        if key.node != self.node || !is_equal(expected.as_bytes(), key.mac.as_bytes()) {
            return Redemption::Refused(Reason::Foreign);
        }
        let at = Duration::from_millis(key.at_ms);
        if self.now.saturating_sub(at) > self.options.window {
            return Redemption::Refused(Reason::Expired);
        }
        if self.accepted.contains(&key.nonce) {
            return Redemption::Repeated;
        }
        if self.accepted.len() >= self.options.max_keys {
            return Redemption::Refused(Reason::Overloaded);
        }
        self.accepted.insert(key.nonce);
        self.order.push_back(Accepted { at: self.now.max(at), nonce: key.nonce });
        Redemption::First
    }

    /// Forgets keys that are no longer valid. A key is remembered for the validity time counted from the
    /// later of its issue and its acceptance, so that it has expired when it is forgotten.
    fn expire(&mut self) {
        let is_expired = |it: &mut Accepted| self.now.saturating_sub(it.at) > self.options.window;
        while let Some(accepted) = self.order.pop_front_if(is_expired) {
            self.accepted.remove(&accepted.nonce);
        }
    }
}

/// Parses a minted key; returns `None` if the text has another format. The node's name may contain
/// dots.
pub fn parse(key: &str) -> Option<Key> {
    let fields = key.strip_prefix(PREFIX)?.strip_prefix('.')?;
    let mut parts = fields.rsplitn(4, '.');
    let mac = parts.next()?;
    let nonce = Nonce::from_str_radix(parts.next()?, 16).ok()?;
    let at_ms = parts.next()?.parse().ok()?;
    let node = parts.next()?.to_owned();
    Some(Key { node, at_ms, nonce, mac: mac.to_owned() })
}

/// Compares in constant time for texts of one length, so that timing reveals nothing about the MAC.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    let difference = a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b));
    a.len() == b.len() && difference == 0
}
