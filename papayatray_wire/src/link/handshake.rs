//! Handshake in which both ends prove that they hold the deployment's key.

use rand::Rng;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::ClusterKey;
use super::LinkError;
use super::Receiver;
use super::Sender;

/// Random bytes that each end adds, so that an old handshake is worth nothing.
type Nonce = [u8; 16];

/// Words that keep the proofs of the two ends apart.
const CLIENT: &[u8] = b"client";
const SERVER: &[u8] = b"server";
const DOWN: &[u8] = b"down";
const UP: &[u8] = b"up";

/// Opens the connecting end of a link over `stream`.
///
/// # Errors
///
/// Fails when the stream does, or when the other end does not hold the key.
pub async fn connect(
    mut stream: TcpStream,
    key: &ClusterKey,
) -> Result<(Sender, Receiver), LinkError> {
    stream.set_nodelay(true)?;
    let own: Nonce = rand::rng().random();
    stream.write_all(&own).await?;
    let mut other = Nonce::default();
    stream.read_exact(&mut other).await?;
    let mut proof = [0; 32];
    stream.read_exact(&mut proof).await?;
    if !key.verify_mac(&[SERVER, &own, &other], proof) {
        return Err(LinkError::Stranger);
    }
    let answer = key.compute_mac(&[CLIENT, &own, &other]);
    stream.write_all(answer.as_bytes()).await?;
    let up = key.compute_mac(&[UP, &own, &other]);
    let down = key.compute_mac(&[DOWN, &own, &other]);
    Ok((Sender::new(stream.clone(), up), Receiver::new(stream, down)))
}

/// Opens the accepting end of a link over `stream`.
///
/// # Errors
///
/// Fails when the stream does, or when the other end does not hold the key.
pub async fn accept(
    mut stream: TcpStream,
    key: &ClusterKey,
) -> Result<(Sender, Receiver), LinkError> {
    stream.set_nodelay(true)?;
    let mut other = Nonce::default();
    stream.read_exact(&mut other).await?;
    let own: Nonce = rand::rng().random();
    let proof = key.compute_mac(&[SERVER, &other, &own]);
    stream.write_all(&own).await?;
    stream.write_all(proof.as_bytes()).await?;
    let mut answer = [0; 32];
    stream.read_exact(&mut answer).await?;
    if !key.verify_mac(&[CLIENT, &other, &own], answer) {
        return Err(LinkError::Stranger);
    }
    let up = key.compute_mac(&[UP, &other, &own]);
    let down = key.compute_mac(&[DOWN, &other, &own]);
    Ok((Sender::new(stream.clone(), down), Receiver::new(stream, up)))
}
