//! Named fields of later and earlier builds, generated: fields that this build doesn't know, and missing ones.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cuminward_adapter::topic;
use cuminward_adapter_fake::{address, header};
use googletest::prelude::*;
use proptest::{
    collection,
    prelude::*,
    sample, strategy,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use serde_json::{Map, Value, json};
use tokio::{net::UdpSocket, time};

use crate::{
    former_build::{Digest, empty_digest},
    site::{self, Site},
};

/// Number of generated records of each kind.
const CASES: usize = 200;

/// Seed of the generator.
const SEED: [u8; 32] = [43; 32];

/// Time in which a node counts the builds that it has heard.
const COUNT_TIME: Duration = Duration::from_millis(800);

/// Number of crashes that put a part into quarantine.
const CRASHES: u64 = 3;

/// Returns generated values, the same ones in each run.
fn generate<T>(strategy: &impl Strategy<Value = T>) -> Vec<T> {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let value = |runner: &mut TestRunner| {
        strategy.new_tree(runner).expect("the strategy rejects no value").current()
    };
    (0..CASES).map(|_| value(&mut runner)).collect()
}

/// Returns any JSON value.
fn any_json() -> impl Strategy<Value = Value> {
    let text = ".{0,8}".prop_map(Value::from);
    let leaf = prop_oneof![
        strategy::Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f32>().prop_map(Value::from),
        text
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        prop_oneof![
            collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            unknown_fields(inner).prop_map(Value::Object)
        ]
    })
}

/// Returns fields whose names begin with `x`, as no field of this build does.
fn unknown_fields(
    value: impl Strategy<Value = Value>,
) -> impl Strategy<Value = Map<String, Value>> {
    collection::hash_map("x[a-z]{1,4}", value, 0..4).prop_map(Map::from_iter)
}

/// Returns an object with the fields in `known`, except for those that are left out, and unknown ones, in any order.
fn with_unknown_fields(known: Vec<(&'static str, Value)>) -> impl Strategy<Value = String> {
    let all = known.len();
    let kept = sample::subsequence(known, 0..=all);
    (kept, unknown_fields(any_json())).prop_flat_map(|(kept, unknown)| {
        let kept = kept.into_iter().map(|(name, value)| (name.to_owned(), value));
        strategy::Just(kept.chain(unknown).collect::<Vec<_>>()).prop_shuffle().prop_map(object)
    })
}

/// Returns the text of an object with fields in an order.
fn object(fields: Vec<(String, Value)>) -> String {
    let fields: Vec<String> =
        fields.into_iter().map(|(name, value)| format!("{}:{value}", json!(name))).collect();
    format!("{{{}}}", fields.join(","))
}

/// Returns the number of other nodes by their build, as the metrics of a node show it.
fn parse_builds(metrics: &str) -> BTreeMap<String, usize> {
    let lines =
        metrics.lines().filter_map(|it| it.strip_prefix("cuminward_gateway_peers{build=\""));
    let parse = |line: &str| {
        let (build, count) = line.split_once("\"} ")?;
        Some((build.to_owned(), count.parse().ok()?))
    };
    lines.filter_map(parse).collect()
}

/// Guards against extensions of later builds that aren't read, or are read as something else.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_build_is_read_from_extensions_with_any_other_fields() -> Result<()> {
    const BUILDS: [&str; 3] = ["9.1", "9.2+f00", "10"];
    let features = collection::vec(any::<u16>(), 0..4);
    let limits = collection::vec(unknown_fields(any_json()), 0..3).prop_map(|limits| {
        let known = json!({ "host": 7, "rate": 2.0, "age_ms": 5 });
        let known = known.as_object().expect("it is an object").clone();
        Value::from_iter(
            limits.into_iter().map(|it| Value::from_iter(known.clone().into_iter().chain(it))),
        )
    });
    let extension = (sample::select(&BUILDS), features, limits).prop_flat_map(|it| {
        with_unknown_fields(vec![
            ("build", json!(it.0)),
            ("features", json!(it.1)),
            ("limits", it.2),
        ])
    });
    let extensions = generate(&extension);
    let site = Site::start().await;
    let metrics = address::allocate().or_fail()?;
    let node = site.node_with_metrics("reads", metrics).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.or_fail()?;
    let mut expected = BTreeMap::new();
    for (index, extension) in extensions.iter().enumerate() {
        let value: HashMap<String, Value> = serde_json::from_str(extension).or_fail()?;
        let build = value.get("build").and_then(Value::as_str).unwrap_or_default();
        *expected.entry(build.to_owned()).or_default() += 1_usize;
        let address = socket.local_addr().or_fail()?;
        let digest = Digest { address, number: 1, ..empty_digest(format!("later-{index}")) };
        let mut bytes = bincode::serialize(&digest).or_fail()?;
        bytes.extend_from_slice(extension.as_bytes());
        socket.send_to(&bytes, node.peers).await.or_fail()?;
        time::sleep(Duration::from_millis(1)).await;
    }
    time::sleep(COUNT_TIME).await;
    let page = site::fetch(metrics, "/metrics").await.or_fail()?.body;
    expect_that!(parse_builds(&page), eq(&expected));
    expect_that!(page, contains_substring("cuminward_gateway_unreadable_datagrams_total 0"));
    Ok(())
}

/// Guards against stored crashes of later builds that aren't read. The subject, the crash and its time are in records of all
/// builds; companions may be missing.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crashes_are_read_from_records_with_any_other_fields() -> Result<()> {
    /// Part of the first record.
    const FIRST_PART: u64 = 0xdea_0000;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).or_fail()?.as_millis() as u64;
    let fields = (with_unknown_fields(vec![("companions", json!([]))]), any::<bool>());
    let site = Site::start().await;
    let records = generate(&fields);
    for (index, (other, is_before)) in records.iter().enumerate() {
        let part = FIRST_PART + index as u64;
        let other = &other[1..other.len() - 1];
        for crash in 1..=CRASHES {
            let at = now - 3000 * crash;
            let known = format!(r#""subject":{{"Part":{part}}},"crash":{crash},"at_unix_ms":{at}"#);
            let fields = if *is_before { [other, &known] } else { [&known, other] };
            let fields: Vec<&str> = fields.into_iter().filter(|it| !it.is_empty()).collect();
            let record = format!("{{{}}}", fields.join(","));
            site.store.put(topic::CRASHES, &format!("part:{part:x}/{crash:x}"), &record);
        }
    }
    let node = site.node("reads-crashes").await;
    for (index, (other, _)) in records.iter().enumerate() {
        let parts = format!("{:x}:100,1:10", FIRST_PART + index as u64);
        let headers = [(header::MODEL, site::MODEL), (header::PROMPT_PARTS, &*parts)];
        let answer = node.send("POST", "/chat/1", &headers, "body").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(503), "{other}");
    }
    let headers = [(header::MODEL, site::MODEL), (header::PROMPT_PARTS, "beef:100,1:10")];
    let answer = node.send("POST", "/chat/1", &headers, "body").await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(200));
    Ok(())
}
