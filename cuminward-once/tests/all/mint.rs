//! Tests of `mint`.

use std::time::Duration;

use cuminward_once::{
    claim::Reason,
    mint::{self, Minter, Options, Redemption},
};
use googletest::prelude::*;

const WINDOW: Duration = Duration::from_secs(100);

fn minter(node: &str, secret: u8) -> Minter {
    let options = Options { window: WINDOW, max_keys: 10 };
    Minter::new(node.to_owned(), [secret; 32], options)
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(1_000_000 + seconds)
}

fn redeem(mint: &mut Minter, seconds: u64, team: &str, key: &str) -> Redemption {
    let parts = mint::parse(key).expect("the text is a minted key");
    mint.redeem(at(seconds), team, &parts)
}

#[gtest]
fn key_is_accepted_once_by_its_issuer() {
    let mut issuer = minter("n.1", 1);
    let key = issuer.mint(at(0), "t", 7);
    expect_that!(mint::parse(&key).map(|it| it.node), some(eq("n.1")));
    expect_that!(redeem(&mut issuer, 1, "t", &key), eq(Redemption::First));
    for seconds in [1, 50, 100] {
        expect_that!(redeem(&mut issuer, seconds, "t", &key), eq(Redemption::Repeated));
    }
    for seconds in [101, 200, 5] {
        let refused = Redemption::Refused(Reason::Expired);
        expect_that!(redeem(&mut issuer, seconds, "t", &key), eq(refused));
    }
}

#[gtest]
fn keys_of_other_issuers_and_altered_keys_are_foreign() {
    let key = minter("n1", 1).mint(at(0), "t", 7);
    struct Case {
        name: &'static str,
        mint: Minter,
        team: &'static str,
        key: String,
    }
    let cases = [
        Case { name: "restarted", mint: minter("n1", 2), team: "t", key: key.clone() },
        Case { name: "other node", mint: minter("n2", 1), team: "t", key: key.clone() },
        Case { name: "other team", mint: minter("n1", 1), team: "u", key: key.clone() },
        Case {
            name: "other nonce",
            mint: minter("n1", 1),
            team: "t",
            key: key.replace(".7.", ".8."),
        },
        Case {
            name: "later",
            mint: minter("n1", 1),
            team: "t",
            key: key.replace(".1000", ".1001"),
        },
        Case {
            name: "truncated",
            mint: minter("n1", 1),
            team: "t",
            key: key[..key.len() - 1].into(),
        },
    ];
    for mut case in cases {
        let redemption = redeem(&mut case.mint, 0, case.team, &case.key);
        expect_that!(redemption, eq(Redemption::Refused(Reason::Foreign)), "{}", case.name);
    }
    for text in ["", "cw1", "cw1.", "cw1.n.x.7.ab", "cw1.n.5.zz.ab", "cw2.n.5.7.ab", "abc"] {
        expect_that!(mint::parse(text), none(), "{text}");
    }
}

#[gtest]
fn key_is_accepted_once_when_the_clock_jumps() {
    for jumps in [[0, 50, 0], [50, 0, 140], [90, 10, 185], [0, 0, 99]] {
        let mut issuer = minter("n1", 1);
        let key = issuer.mint(at(jumps[0]), "t", 7);
        let first = jumps
            .iter()
            .flat_map(|it| (0..=100).map(move |offset| it + offset))
            .filter(|it| redeem(&mut issuer, *it, "t", &key) == Redemption::First)
            .count();
        expect_that!(first, le(1));
    }
}

#[gtest]
fn number_of_accepted_keys_is_bounded() {
    let mut issuer = minter("n1", 1);
    let keys: Vec<_> = (0..11).map(|it| issuer.mint(at(0), "t", it)).collect();
    for key in &keys[..10] {
        expect_that!(redeem(&mut issuer, 0, "t", key), eq(Redemption::First));
    }
    let refused = Redemption::Refused(Reason::Overloaded);
    expect_that!(redeem(&mut issuer, 0, "t", &keys[10]), eq(refused));
    let later = issuer.mint(at(101), "t", 20);
    expect_that!(redeem(&mut issuer, 101, "t", &later), eq(Redemption::First));
}
