//! The framing of records in a log file, and the detection of damage.
//!
//! The header of each record has its own checksum, so that a corrupt length can be
//! told from a truncated file. The header also holds the length of the file that
//! was synced when the record was written. An invalid record before that offset
//! had been synced, so the file is damaged. An invalid record after all such offsets
//! may merely be incomplete because the process stopped while writing it.

use bytes::Buf;

/// Length of a header: magic, payload length, synced length of the file, checksums
/// of the payload and of the header.
pub(super) const HEADER_BYTES: usize = 24;

/// Unit in which a disk writes bytes, or loses them when the power fails.
const SECTOR_BYTES: usize = 512;

const MAGIC: u32 = 0x6763_716c;

/// Reads records from the content of a file.
#[derive(Debug)]
pub(super) struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
}

/// What follows the last valid record.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Tail {
    /// Nothing.
    Clean,
    /// An incomplete record that was being written when the process stopped.
    Torn,
    /// A record that was completely written and has changed since; holds the check
    /// that failed.
    Damaged(&'static str),
}

/// Appends a record to `out`; `synced` is the current synced length of the file.
pub(super) fn encode(out: &mut Vec<u8>, payload: &[u8], synced: u64) {
    let start = out.len();
    let len = u32::try_from(payload.len()).expect("record is shorter than 4 GiB");
    out.extend_from_slice(&MAGIC.to_le_bytes());
    out.extend_from_slice(&len.to_le_bytes());
    out.extend_from_slice(&synced.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let header_checksum = crc32fast::hash(&out[start..]);
    out.extend_from_slice(&header_checksum.to_le_bytes());
    out.extend_from_slice(payload);
}

struct Header {
    len: usize,
    synced: u64,
    payload_checksum: u32,
}

impl Header {
    /// Parses a header, or returns `None` if it is incomplete or its checksum is wrong.
    fn parse(bytes: &[u8]) -> Option<Self> {
        let mut head = bytes.get(..HEADER_BYTES)?;
        let checksum = crc32fast::hash(&head[..HEADER_BYTES - 4]);
        let magic = head.get_u32_le();
        let len = head.get_u32_le() as usize;
        let synced = head.get_u64_le();
        let payload_checksum = head.get_u32_le();
        let valid = magic == MAGIC && head.get_u32_le() == checksum;
        valid.then_some(Self {
            len,
            synced,
            payload_checksum,
        })
    }
}

impl<'a> Reader<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, offset: 0 }
    }

    /// Offset of the end of the last valid record.
    pub(super) fn offset(&self) -> usize {
        self.offset
    }

    /// Payload of the next record, or `None` at the end or at an invalid record.
    pub(super) fn next(&mut self) -> Option<&'a [u8]> {
        let header = Header::parse(&self.bytes[self.offset..])?;
        let start = self.offset + HEADER_BYTES;
        let payload = self.bytes.get(start..start + header.len)?;
        if crc32fast::hash(payload) != header.payload_checksum {
            return None;
        }
        self.offset = start + header.len;
        Some(payload)
    }

    /// Classifies what follows the last valid record.
    pub(super) fn tail(&self) -> Tail {
        let rest = &self.bytes[self.offset..];
        if rest.is_empty() {
            return Tail::Clean;
        }
        if self.was_synced() {
            return Tail::Damaged("a later record shows that this one was synced");
        }
        let header = Header::parse(rest);
        let end = match &header {
            None if rest.len() < HEADER_BYTES => return Tail::Torn,
            None => HEADER_BYTES,
            Some(header) if HEADER_BYTES + header.len > rest.len() => return Tail::Torn,
            Some(header) => HEADER_BYTES + header.len,
        };
        if self.has_lost_sector(end) {
            return Tail::Torn;
        }
        match header {
            None => Tail::Damaged("the header's checksum doesn't match"),
            Some(_) => Tail::Damaged("the payload's checksum doesn't match"),
        }
    }

    /// Whether the header of a later record shows that the invalid record had been synced.
    fn was_synced(&self) -> bool {
        let magic = MAGIC.to_le_bytes();
        let rest = &self.bytes[self.offset + 1..];
        let starts = rest
            .windows(magic.len())
            .enumerate()
            .filter(|(_, w)| *w == magic);
        let headers = starts.filter_map(|(at, _)| Header::parse(&rest[at..]));
        let invalid_from = self.offset as u64;
        headers.into_iter().any(|h| h.synced > invalid_from)
    }

    /// Whether one of the sectors of the next `len` bytes holds only zeros: when the
    /// power fails, a disk leaves whole sectors unwritten, and they read as zeros.
    fn has_lost_sector(&self, len: usize) -> bool {
        let end = self.offset + len;
        let mut start = self.offset;
        while start < end {
            let sector_end = (start / SECTOR_BYTES + 1) * SECTOR_BYTES;
            let part_end = sector_end.min(end);
            if self.bytes[start..part_end].iter().all(|b| *b == 0) {
                return true;
            }
            start = part_end;
        }
        false
    }
}
