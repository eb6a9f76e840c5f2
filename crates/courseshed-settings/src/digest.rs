//! Digests of bearer keys: settings name a key by its SHA-256, never by itself.

use std::fmt;
use std::str::FromStr;

use snafu::{Snafu, ensure};

/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// The text is not the digest of a key.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a key digest is the sha256 of the key in 64 lower-case hex digits"))]
pub struct DigestError;

/// SHA-256 digest of a bearer key, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(String);

impl KeyDigest {
    /// The 64 hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        ensure!(
            text.len() == DIGEST_DIGITS && text.bytes().all(is_digit),
            DigestSnafu
        );
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
