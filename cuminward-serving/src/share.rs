//! What callers can take of a machine's memory and descriptors.
//!
//! Answers crowds of callers that don't keep to the limits: heads and bodies that never end, many of them at once. Callers
//! within the limits take a small part of these shares.

/// Part of the memory for bodies that are received or kept for a retry, and for connections with their heads.
const MEMORY_PART: u64 = 4;

/// Part of the memory for bodies that is left to small bodies.
const SMALL_PART: usize = 8;

/// Largest body that counts as small, in bytes.
const SMALL_BYTES: usize = 64 << 10;

/// One in this many connections is kept free for new callers.
const SPARE_PART: usize = 16;

/// Bytes per second that a body has to make while memory or connections are short.
pub const MIN_BODY_RATE: usize = 16 << 10;

/// Descriptors for files, which the platform keeps free.
const FILE_DESCRIPTORS: u64 = 200;

/// Part of the other descriptors for callers; the rest is for upstreams, other nodes and the store.
const DESCRIPTOR_PART: u64 = 2;

/// Smallest number of connections of callers, on however small a machine.
const MIN_CONNECTIONS: usize = 16;

/// Returns the number of bytes that all bodies together may take.
pub fn body_bytes(memory_bytes: u64) -> usize {
    (memory_bytes / MEMORY_PART) as usize
}

/// Returns the number of bytes that all bodies together may take when one of `size` bytes grows. A part is left to small
/// bodies, so that large ones can't keep ordinary requests out.
pub fn body_bytes_for(size: usize, body_bytes: usize) -> usize {
    if size <= SMALL_BYTES { body_bytes } else { body_bytes - body_bytes / SMALL_PART }
}

/// Returns the number of connections that are kept free for new callers, of `max_connections`.
pub fn spare_connections(max_connections: usize) -> usize {
    (max_connections / SPARE_PART).max(1)
}

/// Returns the number of connections of callers, each of which buffers up to `buffer_bytes`.
pub fn connections(memory_bytes: u64, descriptors: u64, buffer_bytes: usize) -> usize {
    let by_descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTOR_PART;
    let by_memory = memory_bytes / MEMORY_PART / buffer_bytes.max(1) as u64;
    (by_descriptors.min(by_memory) as usize).max(MIN_CONNECTIONS)
}

/// Returns the size to which the buffer of a body grows when it has to hold `needed` bytes: twice as large, so that it
/// seldom grows, but no larger than the body can get.
pub fn grown(current: usize, needed: usize, max: usize) -> usize {
    /// Smallest buffer, in bytes.
    const MIN_BYTES: usize = 1 << 10;
    needed.max((current * 2).min(max)).max(MIN_BYTES.min(max))
}
