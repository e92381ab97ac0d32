//! Frames: runs of bytes that tell whether they are whole.

/// Sign at the beginning of each frame.
const MAGIC: [u8; 4] = *b"PTRF";
/// Bytes before a frame's content: sign, length and checksum.
const HEAD: usize = 12;
/// Most bytes that a frame may hold.
const MOST: usize = 1 << 30;

/// Adds `content` to `out` as one frame.
pub(super) fn write(out: &mut Vec<u8>, content: &[u8]) {
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    out.extend_from_slice(content);
}

/// Returns the content of the frame at `offset` and the offset after it, if the frame is whole.
pub(super) fn read(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let head = bytes.get(offset..offset + HEAD)?;
    if head[..4] != MAGIC {
        return None;
    }
    let length = usize::try_from(u32::from_le_bytes(head[4..8].try_into().ok()?)).ok()?;
    let sum = u32::from_le_bytes(head[8..12].try_into().ok()?);
    if length > MOST {
        return None;
    }
    let end = offset + HEAD + length;
    let content = bytes.get(offset + HEAD..end)?;
    (crc32fast::hash(content) == sum).then_some((content, end))
}

/// Tells whether a whole frame begins anywhere after `offset`.
///
/// Each frame is made durable before the next is written, so that a bad frame with a whole one
/// behind it was once whole itself.
pub(super) fn any_after(bytes: &[u8], offset: usize) -> bool {
    let rest = bytes.get(offset + 1..).unwrap_or_default();
    let starts = rest
        .windows(MAGIC.len())
        .enumerate()
        .filter(|(_, w)| *w == MAGIC);
    starts
        .map(|(at, _)| offset + 1 + at)
        .any(|at| read(bytes, at).is_some())
}
