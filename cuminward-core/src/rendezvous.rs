//! Rendezvous hashing: which node owns what, without agreement beyond the list of nodes.

use xxhash_rust::xxh3;

/// Weight of a candidate for an item.
pub fn weight(candidate: &str, item: &str) -> u64 {
    xxh3::xxh3_64_with_seed(item.as_bytes(), xxh3::xxh3_64(candidate.as_bytes()))
}

/// Returns the candidate with the largest weight for an item, or `None` without candidates.
pub fn owner<'a>(candidates: impl IntoIterator<Item = &'a str>, item: &str) -> Option<&'a str> {
    candidates.into_iter().max_by_key(|it| (weight(it, item), *it))
}

/// Returns the `count` candidates with the largest weights for an item, the largest first.
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
