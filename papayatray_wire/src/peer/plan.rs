//! Pieces of the plan that a control replica sends to an entry.
//!
//! Load: plans of thousands of routes for hundreds of entries behind narrow links.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use displaydoc::Display;
use papayatray_core::gateway::plan_items::ItemDigest;
use papayatray_core::gateway::plan_log::PlanCursor;
use papayatray_core::gateway::plan_log::PlanPiece;
use papayatray_state::compression::Effort;
use papayatray_state::compression::compress;
use papayatray_state::compression::decompress;
use serde::Deserialize;
use serde::Serialize;

/// Text in one piece, in bytes: about 10 KB in compressed form, which a link of 10 Mbit/s carries
/// in 8 ms.
pub const PIECE_BYTES: usize = 64 << 10;
/// Maximum size of the text of a piece in bytes; a single route may exceed the usual size.
const MAX_TEXT_BYTES: u64 = 16 << 20;

/// Reason why a piece cannot be decoded.
#[derive(Debug, Display)]
pub enum PieceError {
    /// the piece is not valid Base64: {0}
    Base64(base64::DecodeError),
    /// the piece cannot be decompressed: {0}
    Compression(std::io::Error),
}

impl std::error::Error for PieceError {}

/// Request of [`Method::PlanPiece`](super::Method::PlanPiece).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PieceRequest {
    /// Position up to which the entry has received the plan.
    pub cursor: PlanCursor,
}

/// Reply to [`PieceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceReply {
    /// Whether the entry must drop what it has received before.
    pub is_restart: bool,
    /// Texts of the changes, one a line, compressed and as Base64.
    content: String,
    /// Position after the changes.
    pub cursor: PlanCursor,
    /// Digest of all items, if the piece completes the plan.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<ItemDigest>,
}

impl From<PlanPiece> for PieceReply {
    fn from(piece: PlanPiece) -> Self {
        Self {
            is_restart: piece.is_restart,
            content: STANDARD_NO_PAD.encode(compress(&piece.text, Effort::Size)),
            cursor: piece.cursor,
            digest: piece.digest,
        }
    }
}

impl TryFrom<PieceReply> for PlanPiece {
    type Error = PieceError;

    fn try_from(reply: PieceReply) -> Result<Self, PieceError> {
        let bytes = STANDARD_NO_PAD
            .decode(&reply.content)
            .map_err(PieceError::Base64)?;
        let text = decompress(&bytes, MAX_TEXT_BYTES).map_err(PieceError::Compression)?;
        Ok(Self {
            is_restart: reply.is_restart,
            text,
            cursor: reply.cursor,
            digest: reply.digest,
        })
    }
}
