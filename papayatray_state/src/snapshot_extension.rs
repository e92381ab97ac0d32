//! Extension of snapshots: what format level 1 adds to the state, in JSON after its binary form.

use displaydoc::Display;
use papayatray_core::format::FormatLevel;
use papayatray_core::gateway::evacuation::EvacuationTable;
use serde::Deserialize;
use serde::Serialize;

/// Reason why the state of a snapshot cannot be decoded or encoded.
#[derive(Debug, Display)]
pub enum StateError {
    /// the binary part is not valid: {0}
    Binary(postcard::Error),
    /// the extension is not valid: {0}
    Extension(serde_json::Error),
    /// it has format level {lacks}, and this build reads only levels up to {reads}
    Level {
        /// Level of the snapshot.
        lacks: FormatLevel,
        /// Highest level that this build reads.
        reads: FormatLevel,
    },
}

impl std::error::Error for StateError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Binary(cause) => Some(cause),
            Self::Extension(cause) => Some(cause),
            Self::Level { .. } => None,
        }
    }
}

impl From<postcard::Error> for StateError {
    fn from(cause: postcard::Error) -> Self {
        Self::Binary(cause)
    }
}

impl From<serde_json::Error> for StateError {
    fn from(cause: serde_json::Error) -> Self {
        Self::Extension(cause)
    }
}

impl StateError {
    /// Returns the lowest level that a build must read to decode the state.
    pub const fn lacks(&self) -> FormatLevel {
        match self {
            Self::Level { lacks, .. } => *lacks,
            Self::Binary(_) | Self::Extension(_) => FormatLevel::HIGHEST.next(),
        }
    }
}

/// State that the binary form lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotExtension {
    /// Level in force.
    pub(crate) level: FormatLevel,
    pub(crate) evacuations: EvacuationTable,
    /// Published plan as it was logged, if as JSON text. It is kept as text so that a later build finds
    /// the fields in it that this one ignores.
    pub(crate) plan: Option<String>,
}

/// First look at an extension, which holds for all levels.
#[derive(Deserialize)]
struct LevelOnly {
    level: FormatLevel,
}

impl SnapshotExtension {
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        let LevelOnly { level } = serde_json::from_slice(bytes)?;
        if !level.is_readable() {
            return Err(StateError::Level {
                lacks: level,
                reads: FormatLevel::HIGHEST,
            });
        }
        Ok(serde_json::from_slice(bytes)?)
    }

    pub(crate) fn encode(&self) -> Result<Vec<u8>, StateError> {
        Ok(serde_json::to_vec(self)?)
    }
}
