//! Handshake in which both ends prove to each other that they have the deployment's key.

use rand::Rng;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::ClusterKey;
use super::LinkError;
use super::Receiver;
use super::Sender;

/// Random bytes contributed by each end, so that a recorded handshake cannot be replayed.
type Nonce = [u8; 16];

/// Labels of the authentication codes of the connecting end (`CLIENT`) and the accepting end
/// (`SERVER`), so that one end's code is not valid as the other's.
const CLIENT: &[u8] = b"client";
const SERVER: &[u8] = b"server";
/// Labels of the frame keys for each direction; `UP` is from the connecting to the accepting end.
const DOWN: &[u8] = b"down";
const UP: &[u8] = b"up";

/// Nonces of both ends.
struct Nonces {
    connecting: Nonce,
    accepting: Nonce,
}

/// Opens the connecting end of a link over `stream`.
///
/// # Errors
///
/// Fails if the stream does, or if the other end does not have the key.
pub async fn connect(
    mut stream: TcpStream,
    key: &ClusterKey,
) -> Result<(Sender, Receiver), LinkError> {
    let nonces = prove_as_client(&mut stream, key).await?;
    Ok((
        Sender::new(stream.clone(), direction_key(key, UP, &nonces)),
        Receiver::new(stream, direction_key(key, DOWN, &nonces)),
    ))
}

/// Opens the accepting end of a link over `stream`.
///
/// # Errors
///
/// Fails if the stream does, or if the other end does not have the key.
pub async fn accept(
    mut stream: TcpStream,
    key: &ClusterKey,
) -> Result<(Sender, Receiver), LinkError> {
    let nonces = prove_as_server(&mut stream, key).await?;
    Ok((
        Sender::new(stream.clone(), direction_key(key, DOWN, &nonces)),
        Receiver::new(stream, direction_key(key, UP, &nonces)),
    ))
}

/// Proves to each other, as the connecting end, that both ends have the key.
///
/// `stream` can carry any protocol afterwards; unlike frames, its bytes have no authentication codes.
///
/// # Errors
///
/// Fails if the stream does, or if the other end does not have the key.
pub async fn authenticate(stream: &mut TcpStream, key: &ClusterKey) -> Result<(), LinkError> {
    prove_as_client(stream, key).await.map(|_nonces| ())
}

/// Proves to each other, as the accepting end, that both ends have the key; like [`authenticate`].
///
/// # Errors
///
/// Fails if the stream does, or if the other end does not have the key.
pub async fn authenticate_client(
    stream: &mut TcpStream,
    key: &ClusterKey,
) -> Result<(), LinkError> {
    prove_as_server(stream, key).await.map(|_nonces| ())
}

async fn prove_as_client(stream: &mut TcpStream, key: &ClusterKey) -> Result<Nonces, LinkError> {
    stream.set_nodelay(true)?;
    let connecting: Nonce = rand::rng().random();
    stream.write_all(&connecting).await?;
    let mut accepting = Nonce::default();
    stream.read_exact(&mut accepting).await?;
    let mut server_mac = [0; 32];
    stream.read_exact(&mut server_mac).await?;
    if !key.verify_mac(&[SERVER, &connecting, &accepting], server_mac) {
        return Err(LinkError::WrongKey);
    }
    let client_mac = key.compute_mac(&[CLIENT, &connecting, &accepting]);
    stream.write_all(client_mac.as_bytes()).await?;
    Ok(Nonces {
        connecting,
        accepting,
    })
}

async fn prove_as_server(stream: &mut TcpStream, key: &ClusterKey) -> Result<Nonces, LinkError> {
    stream.set_nodelay(true)?;
    let mut connecting = Nonce::default();
    stream.read_exact(&mut connecting).await?;
    let accepting: Nonce = rand::rng().random();
    let server_mac = key.compute_mac(&[SERVER, &connecting, &accepting]);
    stream.write_all(&accepting).await?;
    stream.write_all(server_mac.as_bytes()).await?;
    let mut client_mac = [0; 32];
    stream.read_exact(&mut client_mac).await?;
    if !key.verify_mac(&[CLIENT, &connecting, &accepting], client_mac) {
        return Err(LinkError::WrongKey);
    }
    Ok(Nonces {
        connecting,
        accepting,
    })
}

/// Returns the key of the authentication codes of frames in one direction.
fn direction_key(key: &ClusterKey, label: &[u8], nonces: &Nonces) -> blake3::Hash {
    key.compute_mac(&[label, &nonces.connecting, &nonces.accepting])
}
