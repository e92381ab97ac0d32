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

/// Opens the connecting end of a link over `stream`.
///
/// # Errors
///
/// Fails if the stream does, or if the other end does not have the key.
pub async fn connect(
    mut stream: TcpStream,
    key: &ClusterKey,
) -> Result<(Sender, Receiver), LinkError> {
    stream.set_nodelay(true)?;
    let local_nonce: Nonce = rand::rng().random();
    stream.write_all(&local_nonce).await?;
    let mut peer_nonce = Nonce::default();
    stream.read_exact(&mut peer_nonce).await?;
    let mut server_mac = [0; 32];
    stream.read_exact(&mut server_mac).await?;
    if !key.verify_mac(&[SERVER, &local_nonce, &peer_nonce], server_mac) {
        return Err(LinkError::WrongKey);
    }
    let client_mac = key.compute_mac(&[CLIENT, &local_nonce, &peer_nonce]);
    stream.write_all(client_mac.as_bytes()).await?;
    let up_key = key.compute_mac(&[UP, &local_nonce, &peer_nonce]);
    let down_key = key.compute_mac(&[DOWN, &local_nonce, &peer_nonce]);
    Ok((
        Sender::new(stream.clone(), up_key),
        Receiver::new(stream, down_key),
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
    stream.set_nodelay(true)?;
    let mut peer_nonce = Nonce::default();
    stream.read_exact(&mut peer_nonce).await?;
    let local_nonce: Nonce = rand::rng().random();
    let server_mac = key.compute_mac(&[SERVER, &peer_nonce, &local_nonce]);
    stream.write_all(&local_nonce).await?;
    stream.write_all(server_mac.as_bytes()).await?;
    let mut client_mac = [0; 32];
    stream.read_exact(&mut client_mac).await?;
    if !key.verify_mac(&[CLIENT, &peer_nonce, &local_nonce], client_mac) {
        return Err(LinkError::WrongKey);
    }
    let up_key = key.compute_mac(&[UP, &peer_nonce, &local_nonce]);
    let down_key = key.compute_mac(&[DOWN, &peer_nonce, &local_nonce]);
    Ok((
        Sender::new(stream.clone(), down_key),
        Receiver::new(stream, up_key),
    ))
}
