//! Messages between members, and their encoding.

use prost::Message as _;

use crate::{
    entry::{Entry, Snapshot},
    id,
};

/// Why a message can't be decoded.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes are not valid Protobuf of the expected type.
    #[error("message can't be decoded: {0}")]
    Protobuf(#[from] prost::DecodeError),
    /// A required field is missing.
    #[error("message lacks its {0}")]
    Missing(&'static str),
}

/// `Result` of decoding.
pub type Result<T> = std::result::Result<T, Error>;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Cluster of the sender.
    pub cluster: id::Cluster,
    /// Term of the sender. A pre-vote request, and the response that grants it, carry
    /// the term that the candidate would start.
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
    /// Replicates entries; a heartbeat if it has none.
    #[prost(message, tag = "5")]
    AppendRequest(AppendRequest),
    /// Replaces the receiver's log by a snapshot.
    #[prost(message, tag = "6")]
    InstallSnapshot(InstallSnapshot),
    /// Answers an [`AppendRequest`] or [`InstallSnapshot`].
    #[prost(message, tag = "7")]
    AppendResponse(AppendResponse),
}

/// A candidate's request for a vote.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VoteRequest {
    /// Whether this is a pre-vote, which only asks if the vote would be granted.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Last index of the candidate's log.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of the entry at `last_index`.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
}

/// Response to a [`VoteRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VoteResponse {
    /// Whether the request was a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// The leader's request to append entries after a given position.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    /// Index of the entry before the first of `entries`.
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
    /// Heartbeat round, echoed in the response.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// The leader's request to replace the log by a snapshot, sent whole.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InstallSnapshot {
    /// The snapshot.
    #[prost(message, required, tag = "1")]
    pub snapshot: Snapshot,
    /// Heartbeat round, echoed in the response.
    #[prost(uint64, tag = "2")]
    pub round: u64,
}

/// Response to an [`AppendRequest`] or [`InstallSnapshot`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct AppendResponse {
    /// Whether the follower's synced log matches the leader's up to `index`.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Matching index if `ok`; otherwise the `prev_index` that the leader should try next.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The round of the request.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// A [`Message`] as it is encoded.
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

/// Messages from one member to another that are sent together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MessageBatch {
    /// Address at which the sender receives responses, since a receiver that is new
    /// to the cluster may not know the members' addresses.
    pub address: String,
    /// The messages, in the order in which they were sent.
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
    /// Encodes the batch.
    pub fn encode(&self) -> Vec<u8> {
        let frame = BatchFrame {
            address: self.address.clone(),
            messages: self.messages.iter().map(Frame::from).collect(),
        };
        frame.encode_to_vec()
    }

    /// Decodes a batch that [`encode`](Self::encode) encoded.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let frame = BatchFrame::decode(bytes)?;
        let messages = frame.messages.into_iter().map(Message::try_from);
        Ok(Self {
            address: frame.address,
            messages: messages.collect::<Result<_>>()?,
        })
    }
}
