//! Deterministic tokens: every replica of a version generates the same ones.

use xxhash_rust::xxh3;

/// Bytes of a prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Minimum number of tokens of a reply that isn't cut by a limit.
const MIN_LENGTH: u64 = 16;
/// Range above `MIN_LENGTH` over which the length of a reply varies, in tokens.
const LENGTH_SPREAD: u64 = 240;
/// Syllables from which the texts of tokens are composed.
const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "te", "vi", "wo", "yu", "za",
];

/// Hash that determines the reply to a prompt, so that the prompt isn't hashed for every token.
pub type Seed = u64;

/// Returns the seed of the reply of a version to a prompt.
pub fn seed(version: &str, prompt: &str) -> Seed {
    xxh3::xxh3_64_with_seed(prompt.as_bytes(), xxh3::xxh3_64(version.as_bytes()))
}

/// Returns the text of the token at an index, counted from 0, of the reply with a seed.
pub fn text(seed: Seed, index: u64) -> String {
    let hash = xxh3::xxh3_64_with_seed(&index.to_le_bytes(), seed);
    let syllable = |shift: u32| SYLLABLES[(hash >> shift) as usize % SYLLABLES.len()];
    format!("{}{}{} ", syllable(0), syllable(4), syllable(8))
}

/// Returns the number of tokens of the reply with a seed when no limit cuts it.
pub fn natural_length(seed: Seed) -> u64 {
    MIN_LENGTH + seed % LENGTH_SPREAD
}

/// Returns the text of the token at an index, counted from 0, of the reply to a prompt.
pub fn token_text(version: &str, prompt: &str, index: u64) -> String {
    text(seed(version, prompt), index)
}

/// Returns the number of tokens of the reply of a version to a prompt, at most `max_tokens`.
pub fn token_count(version: &str, prompt: &str, max_tokens: u64) -> u64 {
    natural_length(seed(version, prompt)).min(max_tokens)
}

/// Returns the whole reply of a version to a prompt, cut after `max_tokens` tokens.
pub fn reply_text(version: &str, prompt: &str, max_tokens: u64) -> String {
    let seed = seed(version, prompt);
    (0..natural_length(seed).min(max_tokens)).map(|index| text(seed, index)).collect()
}
