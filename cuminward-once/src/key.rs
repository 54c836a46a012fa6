//! Idempotency keys.

/// Bytes of a key's hash.
const HASH_BYTES: usize = 16;

/// Hash of a key within its team and service.
pub type Hash = [u8; HASH_BYTES];

/// Hashes a key. The same text used by another team or for another service is another key.
pub fn hash(team: &str, service: &str, key: &str) -> Hash {
    let mut hasher = blake3::Hasher::new();
    for part in [team, service, key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut hash = Hash::default();
    hasher.finalize_xof().fill(&mut hash);
    hash
}

/// The hash as hexadecimal text, for events.
pub fn to_hex(hash: &Hash) -> String {
    hex::encode(hash)
}
