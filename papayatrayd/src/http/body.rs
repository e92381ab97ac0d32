//! Bodies of requests, within limits.

use http_types::Request;
use papayatray_core::clock::Millis;
use papayatray_wire::http::ErrorCode;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;

use super::Refused;

/// Time within which a body must be there.
const BODY_LIMIT: Millis = Millis::from_secs(30);

/// Returns the body of a request of at most `most` bytes.
///
/// # Errors
///
/// Refuses a body that is too large, too slow or broken off.
pub async fn read_body(request: &mut Request, most: usize) -> Result<Vec<u8>, Refused> {
    if request.len().is_some_and(|length| length > most) {
        return Err(too_large(most));
    }
    let stated = request.len();
    let mut bytes = Vec::new();
    let limit = most as u64 + 1;
    let reading = async {
        let body = request.take_body();
        body.take(limit).read_to_end(&mut bytes).await.map(drop)
    };
    let timeout = async {
        Timer::after(BODY_LIMIT.to_duration()).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let read = reading.or(timeout).await;
    if let Err(error) = read {
        let message = format!("the body broke off: {error}");
        return Err(Refused::new(ErrorCode::BadRequest, message).closing());
    }
    if bytes.len() > most {
        return Err(too_large(most));
    }
    if stated.is_some_and(|stated| stated != bytes.len()) {
        return Err(
            Refused::new(ErrorCode::BadRequest, "the body is shorter than stated").closing(),
        );
    }
    Ok(bytes)
}

fn too_large(most: usize) -> Refused {
    Refused::new(
        ErrorCode::TooLarge,
        format!("a body has at most {most} bytes"),
    )
    .closing()
}
