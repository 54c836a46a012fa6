//! Rate limit for requests to cold hosts.

use std::time::Duration;

use cuminward_serving::cold::Bucket;
use googletest::prelude::*;

#[gtest]
fn a_bucket_never_exceeds_its_rate() {
    for rate in [1.0, 4.0, 36.0] {
        let mut bucket = Bucket::default();
        let mut taken = 0;
        for step in 0..1000 {
            let now = Duration::from_millis(step);
            let has_token = bucket.has_token(now, rate);
            let is_taken = bucket.try_take(now, rate);
            expect_that!(is_taken, eq(has_token), "rate {rate}, {now:?}");
            taken += u32::from(is_taken);
        }
        expect_that!(f64::from(taken), le(rate + 1.0), "rate {rate}");
        expect_that!(f64::from(taken), ge(rate * 0.9), "rate {rate}");
    }
}
