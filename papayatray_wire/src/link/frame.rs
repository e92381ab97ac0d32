//! Frames on a link.
//!
//! A frame consists of a byte for its kind and of its content. A header precedes it on the link:
//! the length of the frame, and a message authentication code that covers the frame and its
//! position in the sequence.

use papayatray_state::replica::Envelope;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::LinkError;

/// Maximum size of a frame in bytes, without its header; those that carry snapshots are the
/// largest.
///
/// The text of [`LinkError::TooLarge`] states this limit.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// Size in bytes of the authentication code in the header of a frame.
const MAC_BYTES: usize = 16;
/// First byte of a frame that holds a JSON-RPC message.
const RPC_KIND: u8 = 0;
/// First byte of a frame that holds a message of the replication protocol.
const REPLICA_KIND: u8 = 1;

/// Encoding of an optional field that is absent.
///
/// A build that does not know the last field of a message sends nothing for it. Replicas of both builds
/// run side by side while VMs are replaced.
const ABSENT_FIELD: u8 = 0;

/// Unit of transfer on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// JSON-RPC request or response.
    Rpc(String),
    /// Message of the replication protocol, from one control replica to another.
    Replica(Box<Envelope>),
}

impl Frame {
    /// Encodes the frame, without its header.
    ///
    /// # Errors
    ///
    /// Fails if the content cannot be encoded.
    pub fn to_bytes(&self) -> Result<Vec<u8>, LinkError> {
        match self {
            Self::Rpc(text) => {
                let mut bytes = Vec::with_capacity(text.len() + 1);
                bytes.push(RPC_KIND);
                bytes.extend_from_slice(text.as_bytes());
                Ok(bytes)
            }
            Self::Replica(envelope) => Ok(postcard::to_extend(envelope, vec![REPLICA_KIND])?),
        }
    }

    /// Decodes a frame, without its header.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid frame.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError> {
        match bytes.split_first() {
            Some((&RPC_KIND, text)) => {
                let text = String::from_utf8(text.to_vec());
                text.map(Self::Rpc)
                    .map_err(|error| LinkError::Malformed(error.to_string()))
            }
            Some((&REPLICA_KIND, content)) => {
                // What follows the fields that this build knows is ignored.
                let envelope = match postcard::from_bytes(content) {
                    Err(postcard::Error::DeserializeUnexpectedEnd) => {
                        postcard::from_bytes(&[content, &[ABSENT_FIELD]].concat())?
                    }
                    result => result?,
                };
                Ok(Self::Replica(Box::new(envelope)))
            }
            Some((kind, _)) => Err(LinkError::Malformed(format!("unknown frame kind {kind}"))),
            None => Err(LinkError::Malformed("empty frame".to_owned())),
        }
    }
}

/// Key and frame counter for the authentication codes of one direction of a link.
///
/// Each code covers the counter, so a replayed, dropped or reordered frame fails authentication.
#[derive(Debug)]
struct MacState {
    key: blake3::Hash,
    /// Number of frames sent or received in this direction so far.
    count: u64,
}

impl MacState {
    fn next_mac(&mut self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(self.key.as_bytes());
        hasher.update(&self.count.to_le_bytes());
        hasher.update(bytes);
        self.count += 1;
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }
}

/// Sending half of a link.
#[derive(Debug)]
pub struct Sender {
    stream: TcpStream,
    mac_state: MacState,
}

impl Sender {
    pub(super) const fn new(stream: TcpStream, key: blake3::Hash) -> Self {
        Self {
            stream,
            mac_state: MacState { key, count: 0 },
        }
    }

    /// Sends frames in one write; returns the number of bytes written, with the headers.
    ///
    /// # Errors
    ///
    /// Fails if the stream does or a frame is too large.
    pub async fn send(&mut self, frames: &[Frame]) -> Result<usize, LinkError> {
        let mut out = Vec::new();
        for frame in frames {
            let bytes = frame.to_bytes()?;
            let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
            if bytes.len() > MAX_FRAME_BYTES {
                return Err(LinkError::TooLarge(bytes.len()));
            }
            out.extend_from_slice(&length.to_le_bytes());
            out.extend_from_slice(&self.mac_state.next_mac(&bytes));
            out.extend_from_slice(&bytes);
        }
        self.stream.write_all(&out).await?;
        Ok(out.len())
    }
}

/// Receiving half of a link.
#[derive(Debug)]
pub struct Receiver {
    stream: smol::io::BufReader<TcpStream>,
    mac_state: MacState,
}

impl Receiver {
    pub(super) fn new(stream: TcpStream, key: blake3::Hash) -> Self {
        let stream = smol::io::BufReader::new(stream);
        Self {
            stream,
            mac_state: MacState { key, count: 0 },
        }
    }

    /// Receives the next frame.
    ///
    /// # Errors
    ///
    /// Fails if the stream does, or if the frame is too large or malformed. Returns
    /// [`LinkError::BadMac`] if the frame fails authentication or the stream ends within it; an end
    /// within the header is an I/O error.
    pub async fn receive(&mut self) -> Result<Frame, LinkError> {
        let mut length_bytes = [0; 4];
        self.stream.read_exact(&mut length_bytes).await?;
        let length = usize::try_from(u32::from_le_bytes(length_bytes)).unwrap_or(usize::MAX);
        if length > MAX_FRAME_BYTES {
            return Err(LinkError::TooLarge(length));
        }
        let mut mac = [0; MAC_BYTES];
        self.stream.read_exact(&mut mac).await?;
        // The buffer grows with the bytes received, so a forged length allocates no memory.
        let mut bytes = Vec::new();
        let mut limited = (&mut self.stream).take(length as u64);
        limited.read_to_end(&mut bytes).await?;
        if bytes.len() != length || !is_equal_constant_time(self.mac_state.next_mac(&bytes), mac) {
            return Err(LinkError::BadMac);
        }
        Frame::from_bytes(&bytes)
    }
}

fn is_equal_constant_time(a: [u8; MAC_BYTES], b: [u8; MAC_BYTES]) -> bool {
    let differing = a.iter().zip(b).fold(0, |bits, (x, y)| bits | (x ^ y));
    std::hint::black_box(differing) == 0
}
