//! Frames: length-prefixed byte strings with a checksum.

/// Magic number at the start of each frame.
const MAGIC: [u8; 4] = *b"PTRF";
/// Bytes before a frame's content: magic number, length and CRC-32 of the content.
const HEADER_BYTES: usize = 12;
/// Largest content in bytes; a frame with a larger length field is treated as corrupt.
const MAX_CONTENT_BYTES: usize = 1 << 30;

/// Appends `content` to `out` as one frame.
pub(super) fn write(out: &mut Vec<u8>, content: &[u8]) {
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    out.extend_from_slice(content);
}

/// Returns the content of the frame at `offset` and the offset after it.
///
/// Returns `None` if the frame is incomplete or its checksum does not match.
pub(super) fn read(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = usize::try_from(u32::from_le_bytes(header[4..8].try_into().ok()?)).ok()?;
    let checksum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    if length > MAX_CONTENT_BYTES {
        return None;
    }
    let end = offset + HEADER_BYTES + length;
    let content = bytes.get(offset + HEADER_BYTES..end)?;
    (crc32fast::hash(content) == checksum).then_some((content, end))
}

/// Tells whether a valid frame starts anywhere after `offset`.
///
/// Each frame is made durable before the next is written. An unreadable frame that is followed by
/// a valid one is therefore corrupt, not the result of an incomplete write.
pub(super) fn has_frame_after(bytes: &[u8], offset: usize) -> bool {
    let rest = bytes.get(offset + 1..).unwrap_or_default();
    let starts = rest
        .windows(MAGIC.len())
        .enumerate()
        .filter(|(_, w)| *w == MAGIC);
    starts
        .map(|(at, _)| offset + 1 + at)
        .any(|at| read(bytes, at).is_some())
}
