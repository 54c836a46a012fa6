//! What callers can take of a machine's memory and descriptors.
//!
//! Answers crowds of callers that don't keep to the limits: heads and bodies that never end, many of them at once. Callers
//! within the limits take a small part of these shares.

/// Part of the memory for requests that are received or kept for a retry, and for connections.
const MEMORY_PART: u64 = 4;

/// Largest requests that count as small and as of medium size, in bytes. Parts of the memory are left to them; that of the
/// small ones is enough for one on each connection.
const SMALL_BYTES: usize = 8 << 10;
const MEDIUM_BYTES: usize = 64 << 10;

/// Memory of a connection beside its buffer: its task, its socket and the state of the protocol, in bytes.
const CONNECTION_BYTES: usize = 24 << 10;

/// Bytes that the kernel holds for a connection that isn't read, which count as memory of the process.
pub const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// One connection for this many may wait to be accepted, but at least [`MIN_WAITING_CONNECTIONS`].
const WAITING_PART: usize = 4;
const MIN_WAITING_CONNECTIONS: usize = 64;

/// Memory of a head for each of its bytes: the buffer that it arrived in, the copies of its values, and its form on the way to
/// an upstream.
const HEAD_FACTOR: usize = 4;

/// Memory of a parsed header line beside its bytes, in bytes.
const LINE_BYTES: usize = 128;

/// Memory of a parsed part of a prompt, in bytes.
const PROMPT_PART_BYTES: usize = 32;

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

/// Size of a request's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Head {
    /// Bytes of the request line and of the headers.
    pub bytes: usize,
    /// Header lines.
    pub lines: usize,
    /// Parts of the prompt.
    pub prompt_parts: usize,
}

/// Access
impl Head {
    /// Returns the memory that the head takes until its request has ended, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.bytes * HEAD_FACTOR + self.lines * LINE_BYTES + self.prompt_parts * PROMPT_PART_BYTES
    }
}

/// Returns the number of bytes that all requests together may take, with their heads and bodies.
pub fn request_bytes(memory_bytes: u64) -> usize {
    (memory_bytes / MEMORY_PART) as usize
}

/// Returns the number of bytes that all requests together may take when one of `size` bytes grows. Parts are left to smaller
/// ones, so that large ones can't keep ordinary requests out.
pub fn request_bytes_for(size: usize, request_bytes: usize) -> usize {
    let eighths = match size {
        it if it <= SMALL_BYTES => 8,
        it if it <= MEDIUM_BYTES => 7,
        _ => 6,
    };
    request_bytes / 8 * eighths
}

/// Returns the number of connections that are kept free for new callers, of `max_connections`.
pub fn spare_connections(max_connections: usize) -> usize {
    (max_connections / SPARE_PART).max(1)
}

/// Returns the number of connections that may wait to be accepted, of `max_connections`.
pub fn waiting_connections(max_connections: usize) -> usize {
    (max_connections / WAITING_PART).max(MIN_WAITING_CONNECTIONS)
}

/// Returns the number of connections of callers, each of which buffers up to `buffer_bytes`.
pub fn connections(memory_bytes: u64, descriptors: u64, buffer_bytes: usize) -> usize {
    let by_descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTOR_PART;
    let by_memory = memory_bytes
        / MEMORY_PART
        / (buffer_bytes + CONNECTION_BYTES + RECEIVE_BUFFER_BYTES) as u64;
    (by_descriptors.min(by_memory) as usize).max(MIN_CONNECTIONS)
}

/// Returns the size to which the buffer of a body grows when it has to hold `needed` bytes: twice as large, so that it
/// seldom grows, but no larger than the body can get.
pub fn grown(current: usize, needed: usize, max: usize) -> usize {
    /// Smallest buffer, in bytes.
    const MIN_BYTES: usize = 1 << 10;
    needed.max((current * 2).min(max)).max(MIN_BYTES.min(max))
}
