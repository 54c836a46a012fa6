//! Finding the process that opened a connection.

use cuminward_soak::process::Registry;
use cuminward_standin::link::Identify;
use googletest::prelude::*;
use tokio::net::{TcpListener, TcpStream};

struct Case {
    name: &'static str,
    /// Processes of the nodes.
    processes: Vec<Option<u32>>,
    found: Option<usize>,
}

#[gtest]
#[tokio::test]
async fn the_process_of_a_connection_is_found() -> Result<()> {
    let own = std::process::id();
    let cases = [
        Case { name: "the only node", processes: vec![Some(own)], found: Some(0) },
        Case { name: "another's", processes: vec![Some(1), None, Some(own)], found: Some(2) },
        Case { name: "nobody's", processes: vec![Some(1), None], found: None },
    ];
    let listener = TcpListener::bind("127.0.0.1:0").await.or_fail()?;
    let _connection = TcpStream::connect(listener.local_addr().or_fail()?).await.or_fail()?;
    let (accepted, source) = listener.accept().await.or_fail()?;
    let link = accepted.local_addr().or_fail()?;
    for case in cases {
        let registry = Registry::default();
        for (node, process) in case.processes.iter().enumerate() {
            registry.set(node, *process);
        }
        expect_that!(registry.client(source, link).await, eq(case.found), "{}", case.name);
    }
    Ok(())
}
