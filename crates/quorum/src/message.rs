//! Messages between members, and their encoding.

use prost::Message as _;

use crate::{
    entry::{Entry, Snapshot},
    id,
};

/// Bytes that are not a message.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes don't decode.
    #[error("message can't be decoded: {0}")]
    Codec(#[from] prost::DecodeError),
    /// A required field is missing.
    #[error("message lacks its {0}")]
    Missing(&'static str),
}

/// `Result` of decoding.
pub type Result<T> = std::result::Result<T, Error>;

/// One message from a member to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Cluster of the sender.
    pub cluster: id::Cluster,
    /// Term of the sender; for a pre-vote the term it would campaign in.
    pub term: u64,
    /// Content.
    pub body: Body,
}

/// Content of a [`Message`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Asks for a vote.
    #[prost(message, tag = "3")]
    VoteRequest(VoteRequest),
    /// Answers a [`VoteRequest`].
    #[prost(message, tag = "4")]
    VoteResponse(VoteResponse),
    /// Replicates entries; without entries, a heartbeat.
    #[prost(message, tag = "5")]
    AppendRequest(AppendRequest),
    /// Replaces the log by a snapshot.
    #[prost(message, tag = "6")]
    InstallSnapshot(InstallSnapshot),
    /// Answers an [`AppendRequest`] or [`InstallSnapshot`].
    #[prost(message, tag = "7")]
    AppendResponse(AppendResponse),
}

/// Request for a vote.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VoteRequest {
    /// Only asks whether the vote would be granted.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Last index of the candidate's log.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
}

/// Answer to a [`VoteRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VoteResponse {
    /// Answers a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Entries that follow a given position.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    /// Index just before the entries.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of the entry at `prev_index`.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Consecutive entries from `prev_index + 1`.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Highest index that the leader knows to be committed.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Heartbeat round, echoed in the answer.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// A whole snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InstallSnapshot {
    /// The snapshot.
    #[prost(message, required, tag = "1")]
    pub snapshot: Snapshot,
    /// Heartbeat round, echoed in the answer.
    #[prost(uint64, tag = "2")]
    pub round: u64,
}

/// Answer to an [`AppendRequest`] or [`InstallSnapshot`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct AppendResponse {
    /// Whether the log matches the leader's up to `index`, synced.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Matching index, or where the leader should go on when `ok` is false.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The round of the request.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Frame {
    #[prost(uint64, tag = "1")]
    cluster: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7")]
    body: Option<Body>,
}

impl From<&Message> for Frame {
    fn from(message: &Message) -> Self {
        Self {
            cluster: message.cluster.get(),
            term: message.term,
            body: Some(message.body.clone()),
        }
    }
}

impl TryFrom<Frame> for Message {
    type Error = Error;

    fn try_from(frame: Frame) -> Result<Self> {
        Ok(Self {
            cluster: id::Cluster::new(frame.cluster).ok_or(Error::Missing("cluster"))?,
            term: frame.term,
            body: frame.body.ok_or(Error::Missing("body"))?,
        })
    }
}

/// Messages of one member that travel together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MessageBatch {
    /// Where the sender takes answers; the receiver may not know the members yet.
    pub address: String,
    /// The messages, in the order of their sending.
    pub messages: Vec<Message>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct BatchFrame {
    #[prost(string, tag = "1")]
    address: String,
    #[prost(message, repeated, tag = "2")]
    messages: Vec<Frame>,
}

impl MessageBatch {
    /// Encodes the letter.
    pub fn encode(&self) -> Vec<u8> {
        let frame = BatchFrame {
            address: self.address.clone(),
            messages: self.messages.iter().map(Frame::from).collect(),
        };
        frame.encode_to_vec()
    }

    /// Decodes what [`encode`](Self::encode) wrote.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let frame = BatchFrame::decode(bytes)?;
        let messages = frame.messages.into_iter().map(Message::try_from);
        Ok(Self {
            address: frame.address,
            messages: messages.collect::<Result<_>>()?,
        })
    }
}
