//! Types of values in settings: durations and sizes with units, secrets, and key digests.

use std::fmt;

use papayatray_core::clock::Millis;
use serde::Deserialize;

/// Duration, written with its unit: `250ms`, `3s`, `5m`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(try_from = "String")]
pub struct DurationSetting(pub Millis);

impl TryFrom<String> for DurationSetting {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let (number, unit) = split_unit(&text);
        let factor = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            _ => {
                return Err(mismatch_message(
                    &text,
                    "a time with its unit, such as 250ms, 3s or 5m",
                ));
            }
        };
        let millis = number.and_then(|number| number.checked_mul(factor));
        let millis =
            millis.ok_or_else(|| mismatch_message(&text, "a whole number before the unit"))?;
        Ok(Self(Millis::new(millis)))
    }
}

/// Size in bytes, written with its unit: `512B`, `64KiB`, `8MiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(try_from = "String")]
pub struct ByteSize(pub usize);

impl TryFrom<String> for ByteSize {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let (number, unit) = split_unit(&text);
        let factor = match unit {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            _ => {
                return Err(mismatch_message(
                    &text,
                    "a size with its unit, such as 512B, 64KiB or 8MiB",
                ));
            }
        };
        let bytes = number.and_then(|number| number.checked_mul(factor));
        let bytes = bytes.and_then(|bytes| usize::try_from(bytes).ok());
        bytes
            .map(Self)
            .ok_or_else(|| mismatch_message(&text, "a whole number before the unit"))
    }
}

fn split_unit(text: &str) -> (Option<u64>, &str) {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    (text[..digits].parse().ok(), text[digits..].trim())
}

/// Separator in the message of a failed conversion, between the value found and the one expected;
/// the settings parser splits the message at it.
pub(super) const EXPECTED_SEPARATOR: &str = "; wanted is ";

fn mismatch_message(text: &str, expected: &str) -> String {
    format!("{text:?}{EXPECTED_SEPARATOR}{expected}")
}

/// BLAKE3 digest of a bearer key, written as 64 hexadecimal digits.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct KeyDigest(blake3::Hash);

impl KeyDigest {
    /// Returns the digest.
    pub const fn hash(&self) -> &blake3::Hash {
        &self.0
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let expected = "64 hexadecimal digits, as `papayatray new-key` prints them";
        let hash = blake3::Hash::from_hex(&text);
        hash.map(Self)
            .map_err(|_bad| mismatch_message("(hidden)", expected))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Secret text, which `Debug` does not print.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
