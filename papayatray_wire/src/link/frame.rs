//! Frames on a link, each with a proof that it comes from the other end and in order.

use papayatray_state::replica::Envelope;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::LinkError;

/// Most bytes in a frame; a snapshot is the largest thing sent.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// Bytes of the proof in front of each frame.
const MAC_BYTES: usize = 16;
/// First byte of a frame that holds a JSON-RPC message.
const RPC: u8 = 0;
/// First byte of a frame that holds a message between replicas.
const REPLICA: u8 = 1;

/// Content of a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// JSON-RPC request or response.
    Rpc(String),
    /// Message between replicas.
    Replica(Box<Envelope>),
}

impl Frame {
    /// Returns the frame's bytes.
    ///
    /// # Errors
    ///
    /// Returns why the content cannot be encoded.
    pub fn to_bytes(&self) -> Result<Vec<u8>, LinkError> {
        match self {
            Self::Rpc(text) => {
                let mut bytes = Vec::with_capacity(text.len() + 1);
                bytes.push(RPC);
                bytes.extend_from_slice(text.as_bytes());
                Ok(bytes)
            }
            Self::Replica(replica_frame) => Ok(postcard::to_extend(replica_frame, vec![REPLICA])?),
        }
    }

    /// Returns the frame that `bytes` hold.
    ///
    /// # Errors
    ///
    /// Returns what cannot be understood.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, LinkError> {
        match bytes.split_first() {
            Some((&RPC, text)) => {
                let text = String::from_utf8(text.to_vec());
                text.map(Self::Rpc)
                    .map_err(|error| LinkError::Garbled(error.to_string()))
            }
            Some((&REPLICA, content)) => {
                let replica_frame = postcard::from_bytes(content)?;
                Ok(Self::Replica(Box::new(replica_frame)))
            }
            Some((kind, _)) => Err(LinkError::Garbled(format!("unknown kind of frame {kind}"))),
            None => Err(LinkError::Garbled("empty frame".to_owned())),
        }
    }
}

/// Proofs of one direction of a link.
#[derive(Debug)]
struct MacState {
    key: blake3::Hash,
    count: u64,
}

impl MacState {
    fn next(&mut self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(self.key.as_bytes());
        hasher.update(&self.count.to_le_bytes());
        hasher.update(bytes);
        self.count += 1;
        let mut proof = [0; MAC_BYTES];
        proof.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        proof
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

    /// Sends frames in one write.
    ///
    /// # Errors
    ///
    /// Fails when the stream does or a frame is too large.
    pub async fn send(&mut self, frames: &[Frame]) -> Result<usize, LinkError> {
        let mut out = Vec::new();
        for frame in frames {
            let bytes = frame.to_bytes()?;
            let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
            if bytes.len() > MAX_FRAME_BYTES {
                return Err(LinkError::TooLarge(bytes.len()));
            }
            out.extend_from_slice(&length.to_le_bytes());
            out.extend_from_slice(&self.mac_state.next(&bytes));
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

    /// Returns the next frame.
    ///
    /// # Errors
    ///
    /// Fails when the stream does, or when a frame is altered, too large or cannot be understood.
    pub async fn receive(&mut self) -> Result<Frame, LinkError> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).await?;
        let length = usize::try_from(u32::from_le_bytes(head)).unwrap_or(usize::MAX);
        if length > MAX_FRAME_BYTES {
            return Err(LinkError::TooLarge(length));
        }
        let mut proof = [0; MAC_BYTES];
        self.stream.read_exact(&mut proof).await?;
        // The bytes are taken as they come: a false length costs no memory up front.
        let mut bytes = Vec::new();
        let mut content = (&mut self.stream).take(length as u64);
        content.read_to_end(&mut bytes).await?;
        if bytes.len() != length || !is_equal_constant_time(self.mac_state.next(&bytes), proof) {
            return Err(LinkError::BadMac);
        }
        Frame::from_bytes(&bytes)
    }
}

fn is_equal_constant_time(a: [u8; MAC_BYTES], b: [u8; MAC_BYTES]) -> bool {
    let differing = a.iter().zip(b).fold(0, |sum, (x, y)| sum | (x ^ y));
    std::hint::black_box(differing) == 0
}
