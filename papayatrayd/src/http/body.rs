//! Request bodies, limited in size and time.

use http_types::Request;
use papayatray_core::clock::Millis;
use papayatray_wire::http::ErrorCode;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;

use super::Rejection;

/// Time within which a body must arrive completely.
const BODY_TIMEOUT: Millis = Millis::from_secs(30);

/// Reads the body of a request, which may have at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns a rejection if the body is too large, too slow or incomplete.
pub async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Vec<u8>, Rejection> {
    if request.len().is_some_and(|length| length > max_bytes) {
        return Err(too_large(max_bytes));
    }
    let declared_length = request.len();
    let mut bytes = Vec::new();
    let limit = max_bytes as u64 + 1;
    let reading = async {
        let body = request.take_body();
        body.take(limit).read_to_end(&mut bytes).await.map(drop)
    };
    let timeout = async {
        Timer::after(BODY_TIMEOUT.to_duration()).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let read = reading.or(timeout).await;
    if let Err(error) = read {
        let message = format!("reading the request body failed: {error}");
        return Err(Rejection::new(ErrorCode::BadRequest, message).close_connection());
    }
    if bytes.len() > max_bytes {
        return Err(too_large(max_bytes));
    }
    if declared_length.is_some_and(|length| length != bytes.len()) {
        return Err(Rejection::new(
            ErrorCode::BadRequest,
            "the request body is shorter than its content-length",
        )
        .close_connection());
    }
    Ok(bytes)
}

fn too_large(max_bytes: usize) -> Rejection {
    Rejection::new(
        ErrorCode::TooLarge,
        format!("the request body exceeds the limit of {max_bytes} bytes"),
    )
    .close_connection()
}
