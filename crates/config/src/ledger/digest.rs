//! Hash-chained digests of configuration versions.
//!
//! Each digest covers the digest of the preceding version, and so all versions
//! before it.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A string that is not a digest.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a digest of 64 hexadecimal digits")]
pub struct Error(String);

/// SHA-256 of the preceding version's digest and the record of a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub(crate) [u8; 32]);

impl Digest {
    /// Digest of version 0.
    pub const ORIGIN: Digest = Digest([0; 32]);

    /// Starts the digest of the version that follows this one.
    pub(crate) fn start_successor(self) -> DigestBuilder {
        DigestBuilder(Sha256::new_with_prefix(self.0))
    }
}

/// An incremental computation of a [`Digest`].
pub(crate) struct DigestBuilder(Sha256);

impl DigestBuilder {
    /// Adds a field, preceded by its length, so that different records never have
    /// the same hash input.
    pub(crate) fn field(mut self, bytes: &[u8]) -> DigestBuilder {
        self.0.update((bytes.len() as u64).to_be_bytes());
        self.0.update(bytes);
        self
    }

    pub(crate) fn finish(self) -> Digest {
        Digest(self.0.finalize().into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Digest, Error> {
        let error = || Error(text.to_owned());
        if text.len() != 64 || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Digest(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Digest, Error> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}
