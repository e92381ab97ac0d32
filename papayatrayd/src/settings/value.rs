//! Values with units, secrets and digests.

use std::fmt;

use papayatray_core::clock::Millis;
use serde::Deserialize;

/// Span of time, written with its unit: `250ms`, `3s`, `5m`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(try_from = "String")]
pub struct Span(pub Millis);

impl TryFrom<String> for Span {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let (number, unit) = split(&text);
        let factor = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            _ => {
                return Err(wrong(
                    &text,
                    "a time with its unit, such as 250ms, 3s or 5m",
                ));
            }
        };
        let millis = number.and_then(|number| number.checked_mul(factor));
        let millis = millis.ok_or_else(|| wrong(&text, "a whole number before the unit"))?;
        Ok(Self(Millis::new(millis)))
    }
}

/// Count of bytes, written with its unit: `512B`, `64KiB`, `8MiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(try_from = "String")]
pub struct Bytes(pub usize);

impl TryFrom<String> for Bytes {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let (number, unit) = split(&text);
        let factor = match unit {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            _ => {
                return Err(wrong(
                    &text,
                    "a size with its unit, such as 512B, 64KiB or 8MiB",
                ));
            }
        };
        let bytes = number.and_then(|number| number.checked_mul(factor));
        let bytes = bytes.and_then(|bytes| usize::try_from(bytes).ok());
        bytes
            .map(Self)
            .ok_or_else(|| wrong(&text, "a whole number before the unit"))
    }
}

fn split(text: &str) -> (Option<u64>, &str) {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    (text[..digits].parse().ok(), text[digits..].trim())
}

/// Separator between the value that was found and what is wanted, within a message.
pub(super) const WANTED: &str = "; wanted is ";

fn wrong(text: &str, wanted: &str) -> String {
    format!("{text:?}{WANTED}{wanted}")
}

/// Digest of a bearer key: 64 hexadecimal digits of BLAKE3.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct HashText(blake3::Hash);

impl HashText {
    /// Returns the digest.
    pub const fn hash(&self) -> &blake3::Hash {
        &self.0
    }
}

impl TryFrom<String> for HashText {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let wanted = "64 hexadecimal digits, as `papayatray new-key` prints them";
        let hash = blake3::Hash::from_hex(&text);
        hash.map(Self).map_err(|_bad| wrong("(hidden)", wanted))
    }
}

impl fmt::Debug for HashText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HashText(..)")
    }
}

/// Secret text.
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
