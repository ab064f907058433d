//! Records of a log file, and what a damaged one means.
//!
//! Each record has a header with its own checksum, so a wrong length is told
//! from a short file. The header also names how much of the file was synced
//! when the record was written: a bad record below that mark was synced once,
//! so it is damage and not a torn tail.

use bytes::Buf;

/// Bytes before each payload: magic, length, synced mark, two checksums.
pub(super) const HEADER_BYTES: usize = 24;

/// Unit in which a disk writes or loses bytes.
const SECTOR_BYTES: usize = 512;

const MAGIC: u32 = 0x6763_716c;

/// Reads records from a file's content.
#[derive(Debug)]
pub(super) struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

/// What follows the last good record.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Tail {
    /// Nothing.
    Clean,
    /// A record that was being written when the process stopped.
    Torn,
    /// A record that was synced and has changed since.
    Damaged(&'static str),
}

/// Appends a record to `out`; `synced` is the synced length of the file.
pub(super) fn encode(out: &mut Vec<u8>, payload: &[u8], synced: u64) {
    let start = out.len();
    let len = u32::try_from(payload.len()).expect("record is shorter than 4 GiB");
    out.extend_from_slice(&MAGIC.to_le_bytes());
    out.extend_from_slice(&len.to_le_bytes());
    out.extend_from_slice(&synced.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let check = crc32fast::hash(&out[start..]);
    out.extend_from_slice(&check.to_le_bytes());
    out.extend_from_slice(payload);
}

struct Header {
    len: usize,
    synced: u64,
    payload_check: u32,
}

impl Header {
    fn parse(bytes: &[u8]) -> Option<Self> {
        let mut head = bytes.get(..HEADER_BYTES)?;
        let check = crc32fast::hash(&head[..HEADER_BYTES - 4]);
        let magic = head.get_u32_le();
        let len = head.get_u32_le() as usize;
        let synced = head.get_u64_le();
        let payload_check = head.get_u32_le();
        let good = magic == MAGIC && head.get_u32_le() == check;
        good.then_some(Self {
            len,
            synced,
            payload_check,
        })
    }
}

impl<'a> Reader<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, at: 0 }
    }

    /// Offset after the last good record.
    pub(super) fn offset(&self) -> usize {
        self.at
    }

    /// The next good record's payload.
    pub(super) fn next(&mut self) -> Option<&'a [u8]> {
        let header = Header::parse(&self.bytes[self.at..])?;
        let start = self.at + HEADER_BYTES;
        let payload = self.bytes.get(start..start + header.len)?;
        if crc32fast::hash(payload) != header.payload_check {
            return None;
        }
        self.at = start + header.len;
        Some(payload)
    }

    /// Judges what follows the last good record.
    pub(super) fn tail(&self) -> Tail {
        let rest = &self.bytes[self.at..];
        if rest.is_empty() {
            return Tail::Clean;
        }
        if self.is_synced() {
            return Tail::Damaged("a later record says that this one was synced");
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

    /// Whether any record after the bad one was written when that was synced.
    fn is_synced(&self) -> bool {
        let magic = MAGIC.to_le_bytes();
        let rest = &self.bytes[self.at + 1..];
        let starts = rest
            .windows(magic.len())
            .enumerate()
            .filter(|(_, w)| *w == magic);
        let headers = starts.filter_map(|(at, _)| Header::parse(&rest[at..]));
        let mark = self.at as u64;
        headers.into_iter().any(|h| h.synced > mark)
    }

    /// A disk that lost power leaves whole sectors unwritten, which read as zeros.
    fn has_lost_sector(&self, len: usize) -> bool {
        let end = self.at + len;
        let mut start = self.at;
        while start < end {
            let sector_end = (start / SECTOR_BYTES + 1) * SECTOR_BYTES;
            let stop = sector_end.min(end);
            if self.bytes[start..stop].iter().all(|b| *b == 0) {
                return true;
            }
            start = stop;
        }
        false
    }
}
