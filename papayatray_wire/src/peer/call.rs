//! Encoding of calls and replies.

use displaydoc::Display;
use jsonrpsee_types::Id;
use jsonrpsee_types::Request;
use jsonrpsee_types::Response;
use jsonrpsee_types::ResponsePayload;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::Method;

/// Why a call has no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CallError {
    /// the other end cannot be reached: {0}
    Unreachable(String),
    /// no answer came in time; the call may have been carried out
    Silent,
    /// the other end refused: {message}
    Refused {
        /// Number of the refusal.
        code: i32,
        /// What the other end said.
        message: String,
    },
    /// the message cannot be understood: {0}
    Garbled(String),
}

impl std::error::Error for CallError {}

/// Returns the JSON-RPC text of a call.
///
/// # Errors
///
/// Returns why the parameters cannot be encoded.
pub fn encode_call<P>(method: Method, params: &P, id: u64) -> Result<String, CallError>
where
    P: Serialize,
{
    // One parameter by position: the method's own request type.
    let params = serde_json::value::to_raw_value(&[params]).map_err(malformed)?;
    let request = Request::borrowed(method.as_str(), Some(&params), Id::Number(id));
    serde_json::to_string(&request).map_err(malformed)
}

/// Returns the id and result of a JSON-RPC reply.
///
/// # Errors
///
/// Returns what cannot be understood; a refusal is a result, not an error here.
pub fn decode_reply(text: &str) -> Result<(u64, Result<Box<RawValue>, CallError>), CallError> {
    let response: Response<'_, Box<RawValue>> = serde_json::from_str(text).map_err(malformed)?;
    let Id::Number(id) = response.id else {
        return Err(CallError::Garbled("a reply without a number".to_owned()));
    };
    let result = match response.payload {
        ResponsePayload::Success(result) => Ok(result.into_owned()),
        ResponsePayload::Error(error) => Err(CallError::Refused {
            code: error.code(),
            message: error.message().to_owned(),
        }),
    };
    Ok((id, result))
}

impl CallError {
    /// Returns the value that a reply's result holds.
    ///
    /// # Errors
    ///
    /// Returns what cannot be understood.
    pub fn parse<R>(result: &RawValue) -> Result<R, Self>
    where
        R: DeserializeOwned,
    {
        serde_json::from_str(result.get()).map_err(malformed)
    }
}

#[expect(clippy::needless_pass_by_value, reason = "fits map_err")]
fn malformed(error: serde_json::Error) -> CallError {
    CallError::Garbled(error.to_string())
}
