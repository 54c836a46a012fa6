//! What callers can take of a machine.

use cuminward_serving::share::{self, Head};
use googletest::prelude::*;

/// Largest headers of the catalogs in use, and the buffer of a connection for them, in bytes.
const HEADER_BYTES: usize = 16 << 10;
const BUFFER_BYTES: usize = 42 << 10;

/// Guards against larger requests that leave no memory to smaller ones, and to the smallest least of all.
#[gtest]
fn parts_of_the_memory_are_left_to_smaller_requests() {
    struct Case {
        size: usize,
        expected: usize,
    }
    let capacity = share::request_bytes(160 << 20);
    expect_that!(capacity, eq(40 << 20));
    let cases = [
        Case { size: 0, expected: 40 << 20 },
        Case { size: 8 << 10, expected: 40 << 20 },
        Case { size: (8 << 10) + 1, expected: 35 << 20 },
        Case { size: 64 << 10, expected: 35 << 20 },
        Case { size: (64 << 10) + 1, expected: 30 << 20 },
        Case { size: 4 << 20, expected: 30 << 20 },
        Case { size: usize::MAX, expected: 30 << 20 },
    ];
    for Case { size, expected } in cases {
        expect_that!(share::request_bytes_for(size, capacity), eq(expected), "{size} bytes");
    }
}

/// Guards against small requests on all connections that take what is left to ordinary ones.
#[gtest]
fn small_requests_on_all_connections_fit_into_what_is_left_to_them() {
    for memory_mb in [96, 160, 260, 512] {
        let memory = memory_mb << 20;
        let capacity = share::request_bytes(memory);
        let left = capacity - share::request_bytes_for(64 << 10, capacity);
        let connections = share::connections(memory, u64::MAX, BUFFER_BYTES);
        expect_that!(connections * (8 << 10), le(left), "{memory_mb} MiB");
    }
}

/// Guards against heads that take more memory than is counted for them, and against a count that refuses ordinary ones.
#[gtest]
fn heads_count_with_their_lines_and_prompt_parts() {
    let ordinary = Head { bytes: 600, lines: 8, prompt_parts: 3 };
    expect_that!(ordinary.memory_bytes(), le(4 << 10));
    let wide = Head { bytes: HEADER_BYTES, lines: 100, prompt_parts: HEADER_BYTES / 4 };
    expect_that!(wide.memory_bytes(), ge(HEADER_BYTES * 3 + HEADER_BYTES / 4 * 24));
}

/// Guards against connections that take the descriptors of upstreams, or more memory than their part.
#[gtest]
fn connections_are_bounded_by_descriptors_and_memory() {
    struct Case {
        memory_mb: u64,
        descriptors: u64,
        expected: usize,
    }
    let cases = [
        Case { memory_mb: 160, descriptors: 4100, expected: 417 },
        Case { memory_mb: 512, descriptors: 8192, expected: 1337 },
        Case { memory_mb: 4096, descriptors: 600, expected: 200 },
        Case { memory_mb: 1, descriptors: 100, expected: 16 },
    ];
    for Case { memory_mb, descriptors, expected } in cases {
        let connections = share::connections(memory_mb << 20, descriptors, BUFFER_BYTES);
        expect_that!(connections, eq(expected), "{memory_mb} MiB, {descriptors}");
    }
}

/// Guards against buffers that grow by a copy for each small chunk, or beyond the largest body.
#[gtest]
fn the_buffer_of_a_body_grows_by_doubling_up_to_the_largest_body() {
    let mut sizes = Vec::new();
    let mut size = 0;
    for needed in 1..=10_000 {
        if needed > size {
            size = share::grown(size, needed, 10_000);
            sizes.push(size);
        }
    }
    expect_that!(sizes, elements_are![eq(&1024), eq(&2048), eq(&4096), eq(&8192), eq(&10_000)]);
    expect_that!(share::grown(0, 4 << 20, 4 << 20), eq(4 << 20));
    expect_that!(share::grown(0, 5, 5), eq(5));
}
