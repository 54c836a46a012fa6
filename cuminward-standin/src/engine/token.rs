//! Deterministic tokens: the same on every replica of a version.

use xxhash_rust::xxh3;

/// Bytes of a prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Fewest tokens of a reply that ends by itself.
const MIN_LENGTH: u64 = 16;
/// Spread of the number of tokens of a reply that ends by itself.
const LENGTH_SPREAD: u64 = 240;
/// Syllables that the texts are made of.
const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "te", "vi", "wo", "yu", "za",
];

/// Identifies the reply to a prompt; saves hashing the prompt for every token.
pub type Seed = u64;

/// Seed of the reply of a version to a prompt.
pub fn seed(version: &str, prompt: &str) -> Seed {
    xxh3::xxh3_64_with_seed(prompt.as_bytes(), xxh3::xxh3_64(version.as_bytes()))
}

/// Text of the token at an index, counted from 0, of the reply with a seed.
pub fn text(seed: Seed, index: u64) -> String {
    let hash = xxh3::xxh3_64_with_seed(&index.to_le_bytes(), seed);
    let syllable = |shift: u32| SYLLABLES[(hash >> shift) as usize % SYLLABLES.len()];
    format!("{}{}{} ", syllable(0), syllable(4), syllable(8))
}

/// Number of tokens after which the reply with a seed ends by itself.
pub fn natural_length(seed: Seed) -> u64 {
    MIN_LENGTH + seed % LENGTH_SPREAD
}

/// Text of the token at an index, counted from 0, of the reply of a version to a prompt.
pub fn token_text(version: &str, prompt: &str, index: u64) -> String {
    text(seed(version, prompt), index)
}

/// Number of tokens of the reply of a version to a prompt under a limit.
pub fn token_count(version: &str, prompt: &str, max_tokens: u64) -> u64 {
    natural_length(seed(version, prompt)).min(max_tokens)
}

/// Whole reply of a version to a prompt under a limit of tokens.
pub fn reply_text(version: &str, prompt: &str, max_tokens: u64) -> String {
    let seed = seed(version, prompt);
    (0..natural_length(seed).min(max_tokens)).map(|index| text(seed, index)).collect()
}
