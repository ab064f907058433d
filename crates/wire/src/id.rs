//! Ids as newtypes, so that one kind can't be passed where another is meant.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Longest name of a node, service, team, data centre or rack, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// An id that can't be read from the given text.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The job key is no UUID of version 7.
    #[error("job key {0:?} is not a UUID of version 7")]
    Job(String),
    /// A name is empty, too long or has other characters than it may.
    #[error("name {0:?} must have 1 to 64 of the characters a-z, A-Z, 0-9, '-', '_' and '.'")]
    Name(String),
    /// A number can't be read.
    #[error("{0:?} is not a number from 0 to 18446744073709551615")]
    Number(String),
}

/// A result whose error is an unreadable id.
pub type Result<T> = std::result::Result<T, Error>;

/// Key of a job, chosen by the caller: a UUID of version 7, which holds the
/// key's creation time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "Uuid", into = "Uuid")]
pub struct Job(Uuid);

impl Job {
    /// Builds a key from its creation time since the Unix epoch and ten random bytes.
    pub fn new(created: Duration, random: [u8; 10]) -> Job {
        let millis = u64::try_from(created.as_millis()).unwrap_or(u64::MAX);
        Job(uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid())
    }

    /// Creation time since the Unix epoch, to the millisecond.
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
    /// Its place in the job, from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Orders the coordinators of one job: the greater one wins.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ballot {
    /// Grows with each coordinator that takes the job over.
    pub epoch: u64,
    /// Tells apart two coordinators of one epoch.
    pub coordinator: u64,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.epoch, self.coordinator)
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// The name as text.
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
    /// Name of a process of the system: an entry, an agent or a control instance.
    Node
}
name! {
    /// Name of a service, which upstreams serve and callers ask for.
    Service
}
name! {
    /// Name of a team, to which quotas are given.
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
    /// Name of a region, which holds data centres.
    Region
}

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
    /// Tells a process from its earlier runs under the same name: the time it
    /// started, in milliseconds since the Unix epoch. The later one is greater.
    Incarnation
}
number! {
    /// Number of a membership view; 0 before the first.
    View
}
number! {
    /// Number of a configuration version; 0 before the first.
    Version
}

fn check_name(text: &str) -> Result<()> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    if fits && text.bytes().all(allowed) {
        Ok(())
    } else {
        Err(Error::Name(text.to_owned()))
    }
}
