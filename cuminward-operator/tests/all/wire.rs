//! Tests of TLS and of the server's handling of malformed bytes and messages.

use std::sync::{Arc, Mutex};

use cuminward_operator::{
    client::{Client, OptionsBuilder},
    proto::{self, operator_client::OperatorClient},
    server,
    status::Error,
};
use futures::StreamExt;
use googletest::prelude::*;
use rustls::pki_types::PrivateKeyDer;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_rustls::TlsAcceptor;
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;
use tonic::{Code, Request};

use crate::fake;

#[gtest]
#[tokio::test]
async fn calls_over_tls_need_the_right_ca_certificate() -> Result<()> {
    let certificate = rcgen::generate_simple_self_signed(["localhost".to_owned()])?;
    let other = rcgen::generate_simple_self_signed(["localhost".to_owned()])?;
    let key = PrivateKeyDer::try_from(certificate.signing_key.serialize_der()).or_fail()?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(vec![certificate.cert.der().clone()], key)?;
    config.alpn_protocols = vec![b"h2".to_vec()];
    let acceptor = TlsAcceptor::from(Arc::new(config));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let port = listener.local_addr()?.port();
    let accepted = TcpListenerStream::new(listener).filter_map(move |stream| {
        let acceptor = acceptor.clone();
        async move { acceptor.accept(stream.ok()?).await.ok().map(Ok::<_, std::io::Error>) }
    });
    let backend = fake::Backend { log: Arc::default(), faults: Mutex::default() };
    let accepted = Box::pin(accepted);
    let server_shutdown = CancellationToken::new();
    tokio::spawn(server::serve(Arc::new(backend), fake::operators(), accepted, server_shutdown));
    let connect = |ca_certificate: String| {
        let options = OptionsBuilder::default()
            .endpoints(vec![format!("https://localhost:{port}")])
            .token("r".to_owned())
            .ca_certificates(Some(ca_certificate))
            .rounds(1u32)
            .build()
            .expect("all settings are given");
        Client::new(options)
    };
    expect_that!(connect(certificate.cert.pem())?.catalog().await, ok(anything()));
    let refused = connect(other.cert.pem())?.catalog().await;
    expect_that!(refused, err(matches_pattern!(Error::Unreachable(_))));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn malformed_bytes_are_refused_and_the_server_keeps_serving() -> Result<()> {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
    }
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    let with_preface = |frame: &[u8]| [preface.clone(), frame.to_vec()].concat();
    let cases = [
        Case { name: "no bytes", bytes: Vec::new() },
        Case { name: "bytes that are not HTTP", bytes: vec![0xff; 4096] },
        Case { name: "HTTP/1.1", bytes: b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec() },
        Case { name: "partial preface", bytes: preface[..10].to_vec() },
        Case { name: "a frame over the limit", bytes: with_preface(&[0xff; 64]) },
        Case { name: "partial frame", bytes: with_preface(&[0, 0, 9, 1, 4]) },
        Case {
            name: "data on a stream that was not opened",
            bytes: with_preface(&[0, 0, 1, 0, 0, 0, 0, 0, 0, 7]),
        },
    ];
    let node = fake::start(&Arc::default(), &[]).await;
    for Case { name, bytes } in cases {
        let mut stream = TcpStream::connect(node.address).await?;
        stream.write_all(&bytes).await?;
        stream.shutdown().await?;
        let mut answer = Vec::new();
        // The server may reset the connection instead of closing it.
        let _ = stream.read_to_end(&mut answer).await;
        let mut client = OperatorClient::connect(format!("http://{}", node.address)).await?;
        let code = client.status(proto::StatusRequest {}).await.map_err(|it| it.code());
        expect_that!(code.err(), some(eq(Code::Unauthenticated)), "{name}");
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn invalid_messages_have_no_effect() -> Result<()> {
    struct Case {
        request: proto::ApplyRequest,
        code: Code,
    }
    let action = |action| proto::ApplyRequest {
        change: "c".to_owned(),
        action: Some(proto::Action { action }),
        ..Default::default()
    };
    let take_out = |name: String| Some(proto::action::Action::TakeOut(name));
    let domain = proto::action::Action::DeclareDomain(proto::Domain::default());
    let nameless =
        proto::ApplyRequest { change: String::new(), ..action(take_out("d".to_owned())) };
    let cases = [
        Case { request: proto::ApplyRequest::default(), code: Code::InvalidArgument },
        Case { request: action(None), code: Code::InvalidArgument },
        Case { request: action(Some(domain)), code: Code::InvalidArgument },
        Case { request: nameless, code: Code::InvalidArgument },
        Case { request: action(take_out("x".repeat(1 << 19))), code: Code::OutOfRange },
    ];
    let log: Arc<fake::Log> = Arc::default();
    let node = fake::start(&log, &[]).await;
    let mut client = OperatorClient::connect(format!("http://{}", node.address)).await?;
    for Case { request, code } in cases {
        let mut request = Request::new(request);
        request.metadata_mut().insert("authorization", "Bearer w".parse()?);
        let answer = client.apply(request).await.map_err(|it| it.code());
        expect_that!(answer.err(), some(eq(code)));
    }
    let fold = log.fold.lock().expect("no test panics while it holds the lock");
    expect_that!(fold.revision(), eq(0));
    Ok(())
}
