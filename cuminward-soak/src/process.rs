//! Tells which node's process opened a connection over the loopback interface.

use std::{
    fs, io,
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, PoisonError},
};

use cuminward_standin::link::Identify;
use rustix::net::{self, AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, netlink};
use tokio::task;

/// Sizes of the header of the system's messages about sockets, and of a question about one, in bytes.
const HEADER_BYTES: u32 = 16;
const QUESTION_BYTES: u32 = 56;

/// Largest answer that is read, and the position of the socket's inode in it, in bytes.
const MAX_ANSWER_BYTES: usize = 1024;
const INODE_POSITION: usize = 84;

/// Type of a message that asks about a socket or answers, and its flag of a request.
const SOCKET_MESSAGE: u16 = 20;
const REQUEST_FLAG: u16 = 1;

/// Numbers of the IPv4 address family and of TCP in a question.
const FAMILY_IPV4: u8 = 2;
const PROTOCOL_TCP: u8 = 6;

/// Ids of the running processes, by the node's number.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    ids: Arc<Mutex<Vec<Option<u32>>>>,
}

/// Access
impl Registry {
    /// Returns the number of the node that opened the connection from `source` to `link`; `None` if no node
    /// did or it has closed the connection.
    fn find(&self, source: SocketAddr, link: SocketAddr) -> Option<usize> {
        let (SocketAddr::V4(source), SocketAddr::V4(link)) = (source, link) else { return None };
        let inode = find_inode(source, link).ok().flatten()?;
        let socket = format!("socket:[{inode}]");
        let ids = self.ids.lock().unwrap_or_else(PoisonError::into_inner).clone();
        ids.iter().position(|id| id.is_some_and(|it| has_open(it, &socket)))
    }
}

/// Mutation
impl Registry {
    /// Sets the process of a node.
    pub fn set(&self, node: usize, id: Option<u32>) {
        let mut ids = self.ids.lock().unwrap_or_else(PoisonError::into_inner);
        let length = ids.len().max(node + 1);
        ids.resize(length, None);
        ids[node] = id;
    }
}

impl Identify for Registry {
    async fn client(&self, source: SocketAddr, link: SocketAddr) -> Option<usize> {
        let registry = self.clone();
        task::spawn_blocking(move || registry.find(source, link)).await.ok().flatten()
    }
}

/// Asks the system for the inode of the socket at the `source` end of a connection; `None` if there is no such
/// socket.
///
/// # Errors
///
/// The system doesn't answer questions about sockets.
fn find_inode(source: SocketAddrV4, link: SocketAddrV4) -> io::Result<Option<u32>> {
    let (kind, protocol) = (SocketType::DGRAM, Some(netlink::SOCK_DIAG));
    let system = net::socket_with(AddressFamily::NETLINK, kind, SocketFlags::CLOEXEC, protocol)?;
    net::send(&system, &encode_question(source, link), SendFlags::empty())?;
    let mut answer = [0; MAX_ANSWER_BYTES];
    let (length, _) = net::recv(&system, &mut answer, RecvFlags::empty())?;
    let is_found = answer[4..6] == SOCKET_MESSAGE.to_ne_bytes();
    let inode = answer[..length].get(INODE_POSITION..INODE_POSITION + 4).filter(|_| is_found);
    Ok(inode.and_then(|it| it.try_into().ok()).map(u32::from_ne_bytes))
}

/// Encodes a question about the socket of one connection: a header, family and protocol, states, and the ends.
fn encode_question(source: SocketAddrV4, link: SocketAddrV4) -> Vec<u8> {
    let mut question = Vec::new();
    question.extend((HEADER_BYTES + QUESTION_BYTES).to_ne_bytes());
    question.extend(SOCKET_MESSAGE.to_ne_bytes());
    question.extend(REQUEST_FLAG.to_ne_bytes());
    question.extend([0; 8]);
    question.extend([FAMILY_IPV4, PROTOCOL_TCP, 0, 0]);
    question.extend(u32::MAX.to_ne_bytes());
    question.extend(source.port().to_be_bytes());
    question.extend(link.port().to_be_bytes());
    for address in [source, link] {
        question.extend(address.ip().octets());
        question.extend([0; 12]);
    }
    question.extend(0_u32.to_ne_bytes());
    question.extend([u8::MAX; 8]);
    question
}

/// Returns whether a process has a file open that its descriptors show under this name.
fn has_open(process: u32, name: &str) -> bool {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    descriptors.flatten().any(|it| fs::read_link(it.path()).is_ok_and(|it| it.as_os_str() == name))
}
