//! Hashes of idempotency keys.

/// Length of the hash of a key, in bytes.
const HASH_BYTES: usize = 16;

/// Hash of an idempotency key with its team and service.
pub type Hash = [u8; HASH_BYTES];

/// Returns the hash of a key. The same key of another team or for another service has another hash.
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

/// Returns a hash in hexadecimal, as events show it.
pub fn to_hex(hash: &Hash) -> String {
    hex::encode(hash)
}
