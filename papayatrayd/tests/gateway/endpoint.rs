//! Fake endpoint that responds to each request with scripted raw bytes.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use papayatray_standin::free_address;

/// Time after which a connection counts as not established, far longer than one takes on loopback.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(100);

/// How connections to an address fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// They are refused.
    Refused,
    /// They are never established, as packets get no reply.
    Silent,
}

/// Address to which no connection can be opened until it is dropped.
pub struct DeadAddress {
    /// The address.
    pub address: SocketAddr,
    /// Listener whose queue is full, and the connections that fill it; none if they are refused.
    _listener: Option<(TcpListener, Vec<TcpStream>)>,
}

impl DeadAddress {
    /// Returns an address to which connections fail in this way.
    pub fn new(failure: Failure) -> Self {
        if failure == Failure::Refused {
            return Self {
                // The system gives this port to no other listener.
                address: free_address().unwrap(),
                _listener: None,
            };
        }
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        rustix::net::listen(&listener, 0).unwrap();
        let mut queued = Vec::new();
        // The system drops the packets that open a connection once the queue is full.
        while let Ok(stream) = TcpStream::connect_timeout(&address, FULL_QUEUE_TIMEOUT) {
            queued.push(stream);
        }
        Self {
            address,
            _listener: Some((listener, queued)),
        }
    }
}

/// Way from one entry to an endpoint, which can be cut.
pub struct Proxy {
    /// Address to which the entry connects.
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    is_closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    /// Starts a proxy to an address.
    pub fn start(target: SocketAddr) -> Self {
        // The system gives this port to no other listener after the cut.
        let listener = TcpListener::bind(free_address().unwrap()).unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            is_cut: Arc::default(),
            is_closed: Arc::default(),
            connections: Arc::default(),
        };
        let (is_cut, is_closed) = (Arc::clone(&proxy.is_cut), Arc::clone(&proxy.is_closed));
        let connections = Arc::clone(&proxy.connections);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if is_cut.load(Ordering::SeqCst) {
                    break;
                }
                let far = TcpStream::connect(target).unwrap();
                let both = [near.try_clone().unwrap(), far.try_clone().unwrap()];
                connections.lock().unwrap().extend(both);
                copy_bytes(near.try_clone().unwrap(), far.try_clone().unwrap());
                copy_bytes(far, near);
            }
            drop(listener);
            is_closed.store(true, Ordering::SeqCst);
        });
        proxy
    }

    /// Refuses new connections.
    pub fn refuse(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        // Wakes the listener's thread, which closes the listener.
        let _woken = TcpStream::connect(self.address);
        while !self.is_closed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Closes the connections that are open.
    pub fn close(&self) {
        for connection in self.connections.lock().unwrap().drain(..) {
            // The other end may have closed it.
            let _closed = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Copies bytes from one connection to another until one of them ends.
fn copy_bytes(mut from: TcpStream, mut to: TcpStream) {
    thread::spawn(move || {
        // A connection that breaks ends both.
        let _copied = std::io::copy(&mut from, &mut to);
        let _closed = to.shutdown(Shutdown::Both);
    });
}

/// Step of a scripted response.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Close,
}

/// Request as an endpoint received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Head in lower case.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
    /// Requests that arrived before on the same connection.
    pub predecessors: usize,
}

impl ReceivedRequest {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(':').map(str::trim))
    }
}

type Script = Arc<dyn Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync>;

/// Fake endpoint; clones share its state.
#[derive(Clone)]
pub struct FakeEndpoint {
    /// Address that it listens on.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// Number of responses that could not be sent to their end.
    aborted_responses: Arc<Mutex<usize>>,
}

impl FakeEndpoint {
    /// Starts an endpoint that responds to request number `n`, from 0, with `script(n, request)`.
    pub fn start<F>(script: F) -> Self
    where
        F: Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let fake = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            aborted_responses: Arc::default(),
        };
        let server = fake.clone();
        let script: Script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, script) = (server.clone(), Arc::clone(&script));
                thread::spawn(move || server.serve(stream, &script));
            }
        });
        fake
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns how many connections the gateway closed while a response was being sent.
    pub fn aborted_responses(&self) -> usize {
        *self.aborted_responses.lock().unwrap()
    }

    fn serve(&self, mut stream: TcpStream, script: &Script) {
        let mut predecessors = 0;
        while let Some(request) = read_request(&mut stream) {
            let request = ReceivedRequest {
                predecessors,
                ..request
            };
            predecessors += 1;
            let number = {
                let mut all = self.requests.lock().unwrap();
                all.push(request.clone());
                all.len() - 1
            };
            for step in script(number, &request) {
                match step {
                    Step::Send(bytes) => {
                        if stream.write_all(&bytes).is_err() {
                            *self.aborted_responses.lock().unwrap() += 1;
                            return;
                        }
                    }
                    Step::Wait(duration) => thread::sleep(duration),
                    Step::Close => {
                        // The gateway may have closed the connection first.
                        let _closed = stream.shutdown(Shutdown::Both);
                        return;
                    }
                }
            }
        }
    }
}

fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let request = ReceivedRequest {
        head,
        body: Vec::new(),
        predecessors: 0,
    };
    let length = request
        .header("content-length")
        .and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(ReceivedRequest { body, ..request })
}

/// Returns a complete response with the header that states that the request ran.
pub fn response(request: &ReceivedRequest, status: &str, body: &str) -> Vec<u8> {
    let id = request.header("papayatray-request").unwrap_or_default();
    format!(
        "HTTP/1.1 {status}\r\nPapayatray-Request: {id}\r\nPapayatray-Ran: stamp\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len(),
    )
    .into_bytes()
}

/// Adds a header line to the head of a response.
pub fn with_header(response: Vec<u8>, line: &str) -> Vec<u8> {
    let text = String::from_utf8(response).unwrap();
    let (status, rest) = text.split_once("\r\n").unwrap();
    format!("{status}\r\n{line}{rest}").into_bytes()
}

/// Returns a response which states that the request did not run.
pub fn not_run(request: &ReceivedRequest) -> Vec<u8> {
    let id = request.header("papayatray-request").unwrap_or_default();
    format!(
        "HTTP/1.1 503 Busy\r\nPapayatray-Request: {id}\r\nPapayatray-Not-Run: 1\r\n\
         Content-Length: 0\r\n\r\n",
    )
    .into_bytes()
}

/// Returns the head of a streamed response with this model confidence.
pub fn stream_head(request: &ReceivedRequest, confidence: u32) -> Vec<u8> {
    let id = request.header("papayatray-request").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nPapayatray-Request: {id}\r\nPapayatray-Ran: stamp\r\n\
         Papayatray-Confidence: {confidence}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
    )
    .into_bytes()
}

/// Returns `text` as a chunk of a chunked body.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Returns an event with this id as a chunk.
pub fn event(id: u64) -> Vec<u8> {
    chunk(&format!("id: {id}\ndata: piece {id}\n\n"))
}

/// Returns the last chunk of a chunked body.
pub fn end() -> Vec<u8> {
    b"0\r\n\r\n".to_vec()
}
