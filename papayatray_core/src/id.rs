//! Names and numbers that identify the parts of a deployment.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 96;

/// Reasons why a text is no name.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NameError {
    /// a name may not be empty
    Empty,
    /// a name has at most 96 bytes
    TooLong,
    /// a name has only letters, digits and the signs . _ - @ : /
    InvalidCharacter,
}

impl std::error::Error for NameError {}

/// Checks that `text` can serve as a name.
///
/// # Errors
///
/// Returns what is wrong with the text.
pub fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong);
    }
    let is_valid = |b: u8| b.is_ascii_alphanumeric() || b"._-@:/".contains(&b);
    if text.bytes().all(is_valid) {
        Ok(())
    } else {
        Err(NameError::InvalidCharacter)
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Creates a checked name.
            ///
            /// # Errors
            ///
            /// Returns what is wrong with the text.
            pub fn new<S>(text: S) -> Result<Self, NameError>
            where
                S: Into<String>,
            {
                let text = text.into();
                check_name(&text)?;
                Ok(Self(text))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    )*};
}

names! {
    /// Name of an organisation that sends requests.
    OrganisationId;
    /// Name of a model, without a version.
    ModelId;
    /// Name of a plain service.
    ServiceId;
    /// Name of an endpoint, chosen by the endpoint.
    EndpointId;
    /// Name of a VM that runs a process of the system.
    VmId;
    /// Name of a data centre.
    DataCentre;
    /// Name of a request, chosen by its caller or minted by an entry.
    RequestId;
    /// Name of a configuration change, chosen by its author.
    ChangeId;
    /// Name of an operator.
    OperatorId;
    /// Kind of request that evidence of quality is kept for.
    Kind;
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

numbers! {
    /// Number of a configuration, one higher with each accepted change.
    Revision;
    /// Number of a leader's term, which also fences its orders.
    Term;
    /// Version of a published plan, given by whoever publishes it.
    PlanVersion;
    /// Number of one start of a process or of one folder of a replica.
    Incarnation;
}

/// Model and version, written `model@version`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct VersionId {
    model: ModelId,
    version: String,
}

impl VersionId {
    /// Creates the name of `version` of `model`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the version's text.
    pub fn new<S>(model: ModelId, version: S) -> Result<Self, NameError>
    where
        S: Into<String>,
    {
        let version = version.into();
        check_name(&version)?;
        if version.contains('@') {
            return Err(NameError::InvalidCharacter);
        }
        Ok(Self { model, version })
    }

    /// Returns the model.
    pub const fn model(&self) -> &ModelId {
        &self.model
    }

    /// Returns the version's own part of the name.
    pub fn version(&self) -> &str {
        &self.version
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)
    }
}

impl FromStr for VersionId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let (model, version) = text.split_once('@').ok_or(NameError::InvalidCharacter)?;
        Self::new(ModelId::new(model)?, version)
    }
}

impl TryFrom<String> for VersionId {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<VersionId> for String {
    fn from(id: VersionId) -> Self {
        id.to_string()
    }
}

/// Request of one organisation; two organisations may use the same request id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey {
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Name within the organisation.
    pub request: RequestId,
}

/// Digest of an organisation and a request's body, equal when the request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

/// Digest of a bearer key; the key itself is stored nowhere.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(String);

impl KeyHash {
    /// Creates a digest from its hexadecimal text.
    pub fn new<S>(hex: S) -> Self
    where
        S: Into<String>,
    {
        Self(hex.into())
    }

    /// Returns the hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}
