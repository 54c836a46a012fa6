//! Crowds of callers that don't keep to the limits, against a process of the daemon.
//!
//! Each test checks that the process lives, that its memory and descriptors stay within those of its machine, and that an
//! ordinary request is answered while the crowd's connections are still open. Bytes that have arrived and weren't read
//! count as memory of the process. One test runs at a time.

// Each test prints what the process took, for the pages.
#![expect(clippy::print_stdout)]

mod manner;
mod node;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    task::JoinHandle,
    time,
};

use manner::{Crowd, Manner};
use node::{BODY_BYTES, HEADER_BYTES, Machine, Node};

/// Machine with few descriptors, of which callers get 200.
const FEW_DESCRIPTORS: Machine = Machine { memory_mb: 96, descriptors: 600 };

/// Machine with so many descriptors that the memory bounds the connections.
const MANY_DESCRIPTORS: Machine = Machine { memory_mb: 96, descriptors: 4100 };

/// Connections of the crowds.
const BODIES: usize = 60;
const HEADS: usize = 500;
const UNUSED: usize = 700;
const WAITING: usize = 1500;

/// Interval at which the memory is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Pause between two pieces of a body that arrives piece by piece.
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// Time for which the host sends nothing, so that requests wait.
const SILENCE: Duration = Duration::from_secs(12);

/// Time for a response to a request within the limits.
const RESPONSE_TIME: Duration = Duration::from_secs(30);

/// Lets one test run at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// Reads again and again what a process takes of its memory.
struct Sampler {
    peak_mb: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

/// Life cycle
impl Sampler {
    fn start(node: &Node) -> Sampler {
        let peak_mb = Arc::new(AtomicU64::new(0));
        let (peak, process, callers) = (Arc::clone(&peak_mb), node.id(), node.callers);
        let task = tokio::spawn(async move {
            loop {
                let now = node::memory_with_unread_mb(process, callers);
                peak.fetch_max(now, Ordering::Relaxed);
                time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        Sampler { peak_mb, task }
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A crowd and the machine that it meets.
struct Case {
    name: &'static str,
    machine: Machine,
    /// Manners, with the number of connections of each.
    manners: Vec<(usize, Manner)>,
    /// Time for which the host sends nothing from the beginning of the crowd on.
    silence: Duration,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            name: "crowd",
            machine: FEW_DESCRIPTORS,
            manners: Vec::new(),
            silence: Duration::ZERO,
        }
    }
}

/// Plays a crowd against a process of its own and checks what has to hold.
async fn check(case: Case) {
    let _turn = TURN.lock().await;
    let mut node = Node::start(case.name, case.machine).await;
    expect_that!(node.answers().await, eq(true), "before the crowd");
    let sampler = Sampler::start(&node);
    node.host.fall_silent(case.silence);
    let crowd = Crowd::open(node.callers, case.manners).await;
    node.settle().await;
    expect_that!(node.answers().await, eq(true), "beside the crowd");
    let memory_mb = node.peak_memory_mb().max(sampler.peak_mb.load(Ordering::Relaxed));
    let descriptors = node.descriptors();
    let connections = crowd.len();
    println!("{}: {memory_mb} MiB, {descriptors} descriptors, a crowd of {connections}", case.name);
    expect_that!(memory_mb, le(case.machine.memory_mb), "memory, in MiB");
    expect_that!(descriptors, le(case.machine.descriptors));
    let ended = node.process.try_wait().expect("the process can be waited for");
    expect_that!(ended.is_none(), eq(true), "the process lives");
}

/// Plays a crowd of one manner, whose connections only stay open when they have sent `start`.
async fn check_start(name: &'static str, connections: usize, start: Vec<u8>, pause: Duration) {
    let manner = Manner { start, pause, ..Manner::default() };
    check(Case { name, manners: vec![(connections, manner)], ..Case::default() }).await;
}

/// Returns the manner of a caller that comes again whenever it was turned away, and sends a little more while it isn't.
fn persistent(start: Vec<u8>, trickle: Vec<u8>) -> Manner {
    Manner { start, trickle, reopens: true, ..Manner::default() }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn heads_over_the_limit() {
    let line = format!("X-Padding: {}\r\n", "x".repeat(1000));
    let bytes = manner::head(&format!("{}\r\n", line.repeat(20 * HEADER_BYTES / line.len())));
    check_start("heads", HEADS, bytes.into_bytes(), Duration::ZERO).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end() {
    check_start("endless-heads", HEADS, manner::endless_head(), Duration::ZERO).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_without_end() {
    check_start("empty-lines", HEADS, manner::endless_lines(), Duration::ZERO).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_that_stop_short_of_their_end() {
    check_start("bodies", BODIES, manner::cut_body(), Duration::ZERO).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_in_pieces_that_stop_short_of_their_end() {
    check_start("pieces", BODIES, manner::cut_body(), PIECE_PAUSE).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short_of_their_end() {
    check_start("large-chunks", BODIES, manner::cut_large_chunks(), Duration::ZERO).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn very_small_chunks_that_stop_short_of_their_end() {
    check_start("small-chunks", BODIES, manner::cut_small_chunks(), Duration::ZERO).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_are_never_used() {
    check_start("unused", UNUSED, Vec::new(), Duration::ZERO).await;
}

/// Guards against heads that take more memory than is counted for a connection: a long request line, many parsed lines and
/// prompt parts, and a second buffer for a body that goes on slowly.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn wide_heads_with_bodies_that_go_on_slowly() {
    let manner = persistent(manner::wide_request(&manner::long_path()), manner::chunks(1, 1));
    let manners = vec![(UNUSED, manner)];
    check(Case { name: "wide-heads", machine: MANY_DESCRIPTORS, manners, ..Case::default() }).await;
}

/// The same within the limits on heads, which leaves the callers their places.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn wide_heads_within_the_limits_with_bodies_that_go_on_slowly() {
    let manner = persistent(manner::wide_request("/desk/1"), manner::chunks(1, 1));
    let manners = vec![(UNUSED, manner)];
    check(Case { name: "wide-within", machine: MANY_DESCRIPTORS, manners, ..Case::default() })
        .await;
}

/// Guards against requests that take more memory while they wait for a host than is counted for them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn whole_requests_with_wide_heads_that_wait_for_a_host() {
    let manner = Manner { start: manner::whole_wide_request(), ..Manner::default() };
    let manners = vec![(UNUSED, manner)];
    let case = Case { name: "waiting", machine: MANY_DESCRIPTORS, manners, ..Case::default() };
    check(Case { silence: SILENCE, ..case }).await;
}

/// Guards against paths whose look-up takes time that grows faster than their length.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn paths_of_slashes() {
    let manner = Manner { start: manner::path_of_slashes(), ..Manner::default() };
    check(Case { name: "slashes", manners: vec![(HEADS, manner)], ..Case::default() }).await;
}

/// Guards against bodies of which a byte now and then counts as progress, and which hold all places.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_trickle_on_all_connections() {
    let manner = persistent(manner::cut_chunks(1, 1), manner::chunks(1, 1));
    check(Case { name: "trickle", manners: vec![(UNUSED, manner)], ..Case::default() }).await;
}

/// Guards against refused requests that hold their places by sending on.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_that_send_on() {
    let manner = persistent(manner::refused_request(), vec![b'x'; manner::PIECE_BYTES]);
    check(Case { name: "refused", manners: vec![(UNUSED, manner)], ..Case::default() }).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_whose_responses_are_not_read() {
    check_start("pipelined", HEADS, manner::pipelined_requests(), Duration::ZERO).await;
}

/// Guards against bytes that the kernel holds for connections that weren't accepted yet, or on which nothing is read.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_on_more_connections_than_are_accepted() {
    let manner = Manner { start: manner::pipelined_requests(), ..Manner::default() };
    let manners = vec![(WAITING, manner)];
    check(Case {
        name: "waiting-connections",
        machine: MANY_DESCRIPTORS,
        manners,
        ..Case::default()
    })
    .await;
}

/// Guards against bounds that hold for each manner alone and not for all together.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn all_manners_at_once() {
    let still = |start: Vec<u8>| Manner { start, ..Manner::default() };
    let manners = vec![
        (80, still(manner::endless_head())),
        (80, still(manner::endless_lines())),
        (20, still(manner::cut_body())),
        (20, Manner { start: manner::cut_body(), pause: PIECE_PAUSE, ..Manner::default() }),
        (20, still(manner::cut_large_chunks())),
        (20, still(manner::cut_small_chunks())),
        (60, still(Vec::new())),
        (60, still(manner::path_of_slashes())),
        (60, still(manner::pipelined_requests())),
        (60, still(manner::whole_wide_request())),
        (60, persistent(manner::refused_request(), vec![b'x'; manner::PIECE_BYTES])),
        (120, persistent(manner::wide_request(&manner::long_path()), manner::chunks(1, 1))),
        (120, persistent(manner::wide_request("/desk/1"), manner::chunks(1, 1))),
        (120, persistent(manner::cut_chunks(1, 1), manner::chunks(1, 1))),
    ];
    check(Case { name: "all", machine: MANY_DESCRIPTORS, manners, ..Case::default() }).await;
}

/// Guards against bounds that turn away what the limits allow: a head and a body of the largest size, on a node that nobody
/// else uses.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_largest_request_within_the_limits_is_answered_in_calm() -> Result<()> {
    let _turn = TURN.lock().await;
    let node = Node::start("largest", FEW_DESCRIPTORS).await;
    expect_that!(node.answers().await, eq(true), "the node is ready");
    let mut stream = TcpStream::connect(node.callers).await?;
    stream.write_all(&manner::largest_request(HEADER_BYTES, BODY_BYTES)).await?;
    let mut status = [0; 12];
    time::timeout(RESPONSE_TIME, stream.read_exact(&mut status)).await??;
    expect_that!(String::from_utf8_lossy(&status), eq("HTTP/1.1 200"));
    Ok(())
}
