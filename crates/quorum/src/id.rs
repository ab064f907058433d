//! Identifiers of members, clusters and commands.
//!
//! Ids are random, so that they are unique without coordination. Their text form
//! is a fixed number of hexadecimal digits.

use std::{fmt, str::FromStr};

use rand::Rng;

/// The text is not an id with the expected number of digits.
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
            /// Wraps a raw value. Zero is not a valid id: on disk and on the wire
            /// it stands for `None`.
            pub fn new(value: $repr) -> Option<Self> {
                (value != 0).then_some(Self(value))
            }

            /// Generates a random id.
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
    /// Id of a member. It is kept in the data folder, so an instance that lost
    /// its data folder is another member.
    Member, u64, 16, "member"
);
id!(
    /// Id of a cluster, generated when it is initialized. Members ignore messages
    /// from another cluster.
    Cluster, u64, 16, "cluster"
);
id!(
    /// Id of a request to change the members. It stays the same when the request
    /// is sent again, so that the change is made once.
    Command, u128, 32, "command"
);
