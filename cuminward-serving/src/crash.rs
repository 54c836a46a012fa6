//! Fingerprint by which a request is recognized when its caller sends it again.

use xxhash_rust::xxh3::Xxh3;

/// Hash of the parts of a request that stay the same when a caller sends it again.
pub type Fingerprint = u64;

/// Returns the hash of the path, the caller's key and the body of a request.
pub fn fingerprint(path: &str, key: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [path.as_bytes(), key.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
