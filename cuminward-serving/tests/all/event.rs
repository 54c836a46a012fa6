//! Splitting of streams into server-sent events.

use cuminward_serving::event::Splitter;
use googletest::prelude::*;
use proptest::prelude::*;

struct Case {
    name: &'static str,
    bytes: &'static str,
    ids: &'static [Option<u64>],
    rest: &'static str,
}

#[gtest]
fn complete_events_are_returned_with_their_ids() {
    let cases = [
        Case { name: "empty", bytes: "", ids: &[], rest: "" },
        Case { name: "one", bytes: "id: 4\ndata: x\n\n", ids: &[Some(4)], rest: "" },
        Case { name: "no id", bytes: "data: x\n\n", ids: &[None], rest: "" },
        Case { name: "no space", bytes: "id:5\n\nid:6\n\n", ids: &[Some(5), Some(6)], rest: "" },
        Case {
            name: "carriage returns",
            bytes: "id: 1\r\ndata: x\r\n\r\n",
            ids: &[Some(1)],
            rest: "",
        },
        Case { name: "cut off", bytes: "id: 1\n\nid: 2\nda", ids: &[Some(1)], rest: "id: 2\nda" },
        Case { name: "other id", bytes: "id: x\n\n", ids: &[None], rest: "" },
    ];
    for case in cases {
        let mut splitter = Splitter::default();
        splitter.push(case.bytes.as_bytes()).expect("the bytes are few");
        let ids: Vec<_> = std::iter::from_fn(|| splitter.next_event()).map(|it| it.id).collect();
        expect_that!(ids, eq(case.ids), "{}", case.name);
        expect_that!(splitter.take_remainder(), eq(case.rest.as_bytes()), "{}", case.name);
    }
}

proptest! {
    #[test]
    fn packet_boundaries_change_nothing(cuts in proptest::collection::vec(1_usize..9, 1..40)) {
        let stream: String = (1..20).map(|it| format!("id: {it}\ndata: part {it}\n\n")).collect();
        let mut splitter = Splitter::default();
        let (mut bytes, mut ids) = (Vec::new(), Vec::new());
        let mut left = stream.as_bytes();
        for cut in cuts.iter().cycle() {
            if left.is_empty() {
                break;
            }
            let (packet, rest) = left.split_at(left.len().min(*cut));
            splitter.push(packet).expect("the events are small");
            while let Some(event) = splitter.next_event() {
                bytes.extend_from_slice(&event.bytes);
                ids.extend(event.id);
            }
            left = rest;
        }
        prop_assert_eq!(bytes, stream.as_bytes());
        prop_assert_eq!(ids, (1..20).collect::<Vec<u64>>());
    }
}
