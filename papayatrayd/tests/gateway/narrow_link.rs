//! Forwarder on the loopback interface that carries a bounded number of bytes a second towards the
//! process that connected to it.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Bytes that are forwarded at a time, as in a packet.
const PACKET_BYTES: usize = 1_400;

/// Link shared by all connections through it.
#[derive(Debug)]
pub struct NarrowLink {
    /// Address to connect to.
    pub address: SocketAddr,
    state: Arc<LinkState>,
}

#[derive(Debug)]
struct LinkState {
    /// Bytes a second.
    rate: usize,
    /// Held while a packet is on the link.
    occupied: Mutex<()>,
    /// Milliseconds by which each packet is delayed besides.
    delay: AtomicU64,
    sent: AtomicUsize,
}

impl NarrowLink {
    /// Starts to forward connections to `target`.
    pub fn start(target: SocketAddr, rate: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(LinkState {
            rate,
            occupied: Mutex::default(),
            delay: AtomicU64::new(0),
            sent: AtomicUsize::new(0),
        });
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            for accepted in listener.incoming() {
                let near = accepted.unwrap();
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let (near_copy, far_copy) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                let shared = Arc::clone(&shared);
                std::thread::spawn(move || forward(near_copy, far_copy, |_| {}));
                std::thread::spawn(move || forward(far, near, |bytes| shared.carry(bytes)));
            }
        });
        Self { address, state }
    }

    /// Delays all packets from now on.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap();
        self.state.delay.store(millis, Ordering::Relaxed);
    }

    /// Returns the number of bytes carried so far.
    pub fn sent(&self) -> usize {
        self.state.sent.load(Ordering::Relaxed)
    }
}

impl LinkState {
    /// Waits for as long as the link takes to carry `bytes`.
    fn carry(&self, bytes: usize) {
        let guard = self.occupied.lock().unwrap();
        std::thread::sleep(Duration::from_secs_f64(bytes as f64 / self.rate as f64));
        self.sent.fetch_add(bytes, Ordering::Relaxed);
        drop(guard);
        let delay = self.delay.load(Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(delay));
    }
}

/// Copies bytes until one side closes, then closes both.
fn forward<F>(mut from: TcpStream, mut to: TcpStream, carry: F)
where
    F: Fn(usize),
{
    let mut packet = [0; PACKET_BYTES];
    while let Ok(bytes @ 1..) = from.read(&mut packet) {
        carry(bytes);
        if to.write_all(&packet[..bytes]).is_err() {
            break;
        }
    }
    let _closed = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
