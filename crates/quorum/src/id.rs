//! Identifiers of members, clusters and commands.
//!
//! All are random, so that two of them differ without any agreement. They are
//! shown and parsed as fixed-width hexadecimal digits.

use std::{fmt, str::FromStr};

use rand::Rng;

/// A text that is not an id of the wanted width.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{kind} id {value:?} is not {digits} hexadecimal digits")]
pub struct ParseIdError {
    kind: &'static str,
    value: String,
    digits: usize,
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $digits:literal, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name($repr);

        impl $name {
            /// Wraps a raw value, or returns `None` for zero, which means "none" on disk and wire.
            pub fn new(value: $repr) -> Option<Self> {
                (value != 0).then_some(Self(value))
            }

            /// Draws an id from `rng`.
            pub fn random(rng: &mut impl Rng) -> Self {
                loop {
                    if let Some(id) = Self::new(rng.random()) {
                        return id;
                    }
                }
            }

            /// The raw value, never zero.
            pub fn get(self) -> $repr {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:0width$x}", self.0, width = $digits)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let malformed = || ParseIdError {
                    kind: $kind,
                    value: text.to_owned(),
                    digits: $digits,
                };
                if text.len() != $digits || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(malformed());
                }
                let value = <$repr>::from_str_radix(text, 16).map_err(|_| malformed())?;
                Self::new(value).ok_or_else(malformed)
            }
        }
    };
}

id!(
    /// One data folder of one instance; a new folder is a new member.
    Member, u64, 16, "member"
);
id!(
    /// One initialization; members of another cluster are ignored.
    Cluster, u64, 16, "cluster"
);
id!(
    /// One membership command of an operator, kept when the command is resent.
    Command, u128, 32, "command"
);
