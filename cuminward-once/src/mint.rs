//! Keys that a node makes for its callers and that need no record.
//!
//! A minted key names the node that made it and carries a MAC under a secret that only this process
//! has. Only the process that made a key accepts it, and it remembers each key that it accepted for
//! as long as the key is valid, so that the request of a key is started at most once. Neither the
//! log nor its return changes that. After a restart the secret is another one and no earlier key is
//! accepted.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use cuminward_core::id;

use crate::claim::Reason;

/// First part of a minted key: the form and its version.
const PREFIX: &str = "cw1";

/// Bytes of a MAC within a key.
const MAC_BYTES: usize = 16;

/// Secret of one process.
pub type Secret = [u8; blake3::KEY_LEN];

/// Random part of a key; it differs between all keys of a process.
pub type Nonce = u128;

/// Settings of the mint.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Time for which a key is valid after it was made.
    pub window: Duration,
    /// Most keys that are remembered.
    pub max_keys: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options { window: Duration::from_secs(600), max_keys: 100_000 }
    }
}

/// Makes and accepts keys.
#[derive(Debug)]
pub struct Minter {
    node: id::Node,
    secret: Secret,
    options: Options,
    accepted: HashSet<Nonce>,
    /// Accepted keys in the order of their acceptance.
    order: VecDeque<Accepted>,
    /// Largest time that was passed in.
    now: Duration,
}

#[derive(Debug)]
struct Accepted {
    at: Duration,
    nonce: Nonce,
}

/// Fields of a minted key, as parsed by [`parse`].
#[derive(Debug, Clone, PartialEq)]
pub struct Key {
    /// Node that made the key.
    pub node: id::Node,
    /// When the key was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Random part.
    pub nonce: Nonce,
    /// MAC in hexadecimal.
    pub mac: String,
}

/// What becomes of a request with a minted key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Redemption {
    /// The request may run, at this node.
    First,
    /// A request with the key was started before.
    Repeated,
    /// The request must not run.
    Refused(Reason),
}

/// Life cycle
impl Minter {
    /// Makes a mint; the secret must be random and new for each process.
    pub fn new(node: id::Node, secret: Secret, options: Options) -> Minter {
        let accepted = HashSet::new();
        Minter { node, secret, options, accepted, order: VecDeque::new(), now: Duration::ZERO }
    }
}

/// Access
impl Minter {
    /// Makes a key for a team. `now` is the time since the Unix epoch.
    pub fn mint(&self, now: Duration, team: &str, nonce: Nonce) -> id::Key {
        let at_ms = now.max(self.now).as_millis() as u64;
        let mac = self.mac(team, at_ms, nonce);
        format!("{PREFIX}.{}.{at_ms}.{nonce:x}.{mac}", self.node)
    }

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
    /// Decides about a request with a minted key. `now` is the time since the Unix epoch; it may
    /// jump, but is taken never to go back.
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

    /// Forgets keys that are not valid any more. A key is remembered from the later of its making and
    /// its acceptance on, so that it has expired when it is forgotten.
    fn expire(&mut self) {
        let is_old = |it: &mut Accepted| self.now.saturating_sub(it.at) > self.options.window;
        while let Some(accepted) = self.order.pop_front_if(is_old) {
            self.accepted.remove(&accepted.nonce);
        }
    }
}

/// Takes a minted key apart; `None` if the text isn't one. The node's name may contain dots.
pub fn parse(key: &str) -> Option<Key> {
    let rest = key.strip_prefix(PREFIX)?.strip_prefix('.')?;
    let mut parts = rest.rsplitn(4, '.');
    let mac = parts.next()?;
    let nonce = Nonce::from_str_radix(parts.next()?, 16).ok()?;
    let at_ms = parts.next()?.parse().ok()?;
    let node = parts.next()?.to_owned();
    Some(Key { node, at_ms, nonce, mac: mac.to_owned() })
}

/// Compares in a time that doesn't depend on where the texts differ.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    let difference = a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b));
    a.len() == b.len() && difference == 0
}
