//! Fencing tokens of stewards.

use crate::id;

/// More generations of a group of the store than it can lose when it comes back from an older copy.
const GENERATIONS_PER_ERA: id::Token = 1_000_000;

/// Returns the fencing token of a steward that the store elected in an era, with a generation of the group of
/// candidates. The store counts generations again that it lost, so the token of a newer era is always larger.
pub fn token(era: id::Era, generation: u64) -> id::Token {
    era.saturating_mul(GENERATIONS_PER_ERA).saturating_add(generation)
}
