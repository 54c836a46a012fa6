//! Decoding of whole numbers that other systems may write as fractions.

use serde::{Deserialize, Deserializer, de::Error as _};
use serde_with::DeserializeAs;

/// Adapter for `serde_with` that decodes a whole number from any number that isn't negative, and
/// rounds a fraction to the nearest whole number. A number over the maximum of the type counts as
/// the maximum.
pub struct Rounded;

/// Returns `None` for a number that is negative or not finite.
fn round(value: f64) -> Option<u64> {
    (value.is_finite() && value >= 0.0).then(|| value.round() as u64)
}

fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let value = f64::deserialize(deserializer)?;
    round(value).ok_or_else(|| D::Error::custom(format!("{value} is not a count")))
}

macro_rules! rounded {
    ($($type:ty),*) => {$(
        impl<'de> DeserializeAs<'de, $type> for Rounded {
            fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<$type, D::Error> {
                deserialize(deserializer).map(|it| <$type>::try_from(it).unwrap_or(<$type>::MAX))
            }
        }
    )*};
}

rounded!(u8, u32, u64, usize);
