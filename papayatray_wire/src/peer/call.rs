//! JSON-RPC encoding of calls and replies.

use displaydoc::Display;
use jsonrpsee_types::Id;
use jsonrpsee_types::Request;
use jsonrpsee_types::Response;
use jsonrpsee_types::ResponsePayload;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::Method;

/// Reason why a call has no result.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CallError {
    /// cannot reach the peer: {0}
    Unreachable(String),
    /// the peer did not reply in time; the call may have been executed
    Timeout,
    /// the peer refused the call: {message}
    Refused {
        /// JSON-RPC error code.
        code: i32,
        /// Error message of the peer.
        message: String,
    },
    /// malformed message: {0}
    Malformed(String),
}

impl std::error::Error for CallError {}

/// Returns the JSON-RPC text of a call.
///
/// # Errors
///
/// Fails if the parameters cannot be encoded.
pub fn encode_call<P>(method: Method, params: &P, id: u64) -> Result<String, CallError>
where
    P: Serialize,
{
    // The request type of the method is the only positional parameter.
    let params = serde_json::value::to_raw_value(&[params]).map_err(malformed)?;
    let request = Request::borrowed(method.as_str(), Some(&params), Id::Number(id));
    serde_json::to_string(&request).map_err(malformed)
}

/// Returns the id and the result of a JSON-RPC reply.
///
/// An error reported by the peer is part of the inner result.
///
/// # Errors
///
/// Fails if the text is not a JSON-RPC reply with a numeric id.
pub fn decode_reply(text: &str) -> Result<(u64, Result<Box<RawValue>, CallError>), CallError> {
    let response: Response<'_, Box<RawValue>> = serde_json::from_str(text).map_err(malformed)?;
    let Id::Number(id) = response.id else {
        return Err(CallError::Malformed(
            "reply without a numeric id".to_owned(),
        ));
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
    /// Decodes the result of a reply; an undecodable one is [`CallError::Malformed`].
    ///
    /// # Errors
    ///
    /// Fails if the result is not of type `R`.
    pub fn decode_result<R>(result: &RawValue) -> Result<R, Self>
    where
        R: DeserializeOwned,
    {
        serde_json::from_str(result.get()).map_err(malformed)
    }
}

#[expect(clippy::needless_pass_by_value, reason = "fits map_err")]
fn malformed(error: serde_json::Error) -> CallError {
    CallError::Malformed(error.to_string())
}
