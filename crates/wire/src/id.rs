//! Identifiers as newtypes, so that the compiler rejects one kind of id where another
//! is expected.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Maximum length in bytes of the name of a node, service, team, data centre, rack or
/// region.
pub const MAX_NAME_BYTES: usize = 64;

/// The error returned when a text is not a valid id.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The job key is not a UUID of version 7.
    #[error("job key {0:?} is not a UUID of version 7")]
    Job(String),
    /// The name is empty, too long or has a character that is not allowed.
    #[error("name {0:?} must have 1 to 64 of the characters a-z, A-Z, 0-9, '-', '_' and '.'")]
    Name(String),
    /// The text is not an unsigned 64-bit integer.
    #[error("{0:?} is not a number from 0 to 18446744073709551615")]
    Number(String),
}

/// The result of parsing an id.
pub type Result<T> = std::result::Result<T, Error>;

/// A job's key, chosen by the caller: a UUID of version 7, which contains the time
/// at which the key was created.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "Uuid", into = "Uuid")]
pub struct Job(Uuid);

impl Job {
    /// Creates a key from the time since the Unix epoch and ten random bytes.
    pub fn new(created: Duration, random: [u8; 10]) -> Job {
        let millis = u64::try_from(created.as_millis()).unwrap_or(u64::MAX);
        Job(uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid())
    }

    /// The key's creation time since the Unix epoch, in whole milliseconds.
    pub fn created(self) -> Duration {
        let bytes = self.0.as_bytes();
        let millis = bytes[..6]
            .iter()
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte));
        Duration::from_millis(millis)
    }

    /// The key's 16 bytes.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// The task of this job with the given index.
    pub fn task(self, index: u32) -> Task {
        Task { job: self, index }
    }
}

impl TryFrom<Uuid> for Job {
    type Error = Error;

    fn try_from(uuid: Uuid) -> Result<Job> {
        if uuid.get_version_num() == 7 {
            Ok(Job(uuid))
        } else {
            Err(Error::Job(uuid.to_string()))
        }
    }
}

impl From<Job> for Uuid {
    fn from(job: Job) -> Uuid {
        job.0
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Job {
    type Err = Error;

    fn from_str(text: &str) -> Result<Job> {
        let uuid = Uuid::parse_str(text).map_err(|_| Error::Job(text.to_owned()))?;
        Job::try_from(uuid).map_err(|_| Error::Job(text.to_owned()))
    }
}

/// One task of one job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Task {
    /// The job it belongs to.
    pub job: Job,
    /// Index of the task in the job, from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Rank of a coordinator among those of one job, compared by epoch, then by
/// coordinator. The greatest one wins.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ballot {
    /// Incremented by each coordinator that takes over the job.
    pub epoch: u64,
    /// Distinguishes coordinators that use the same epoch.
    pub coordinator: u64,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.epoch, self.coordinator)
    }
}

/// Defines an identifier that is a name, validated by [`check_name`].
macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<$type> {
                check_name(text)?;
                Ok($type(text.into()))
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(text: String) -> Result<$type> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> String {
                name.as_str().to_owned()
            }
        }
    };
}

name! {
    /// Name of a process of the dispatcher: an entry, an agent or a control instance.
    Node
}
name! {
    /// Name of a service, which upstreams provide and callers request.
    Service
}
name! {
    /// Name of a team. Quotas are assigned per team.
    Team
}
name! {
    /// Name of a data centre.
    DataCenter
}
name! {
    /// Name of a rack in a data centre.
    Rack
}
name! {
    /// Name of a region, which has one or more data centres.
    Region
}

/// Defines an identifier that is an unsigned 64-bit integer.
macro_rules! number {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd,
            Serialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<$type> {
                text.parse()
                    .map($type)
                    .map_err(|_| Error::Number(text.to_owned()))
            }
        }
    };
}

number! {
    /// Distinguishes a process from earlier processes of the same name: its start
    /// time in milliseconds since the Unix epoch. A later process has a greater one.
    Incarnation
}
number! {
    /// Number of a membership view; 0 means that there is none yet.
    View
}
number! {
    /// Number of a configuration version; 0 means that there is none yet.
    Version
}

fn check_name(text: &str) -> Result<()> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let valid_length = (1..=MAX_NAME_BYTES).contains(&text.len());
    if valid_length && text.bytes().all(allowed) {
        Ok(())
    } else {
        Err(Error::Name(text.to_owned()))
    }
}
