//! Rendezvous (highest random weight) hashing: assigns items to nodes. Nodes with the same node
//! list compute the same assignment without further coordination.

use xxhash_rust::xxh3;

/// Returns the rendezvous weight of a candidate for an item.
pub fn weight(candidate: &str, item: &str) -> u64 {
    xxh3::xxh3_64_with_seed(item.as_bytes(), xxh3::xxh3_64(candidate.as_bytes()))
}

/// Returns the candidate with the largest weight for an item, or `None` if there are no candidates.
pub fn owner<'a>(candidates: impl IntoIterator<Item = &'a str>, item: &str) -> Option<&'a str> {
    candidates.into_iter().max_by_key(|it| (weight(it, item), *it))
}

/// Returns up to `count` candidates with the largest weights for an item, in descending order.
pub fn owners<'a>(
    candidates: impl IntoIterator<Item = &'a str>,
    item: &str,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_key(|it| std::cmp::Reverse((weight(it, item), *it)));
    ranked.truncate(count);
    ranked
}
