//! Announcements of stand-in endpoints, repeated until deregistration or drop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use http_types::Method;
use serde_json::json;
use smol::Task;
use smol::Timer;

use crate::client::CallError;
use crate::client::CallResponse;
use crate::client::call;

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Delay before a failed announcement is retried at the next entry.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Description of an endpoint that is the same in all its announcements.
#[derive(Clone, Debug)]
pub struct EndpointInfo {
    /// Id of the endpoint.
    pub id: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Versions that the endpoint has loaded, if it is a model engine.
    pub versions: Vec<String>,
    /// Service that the endpoint runs, if it is a plain service.
    pub service: Option<String>,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
}

/// Background task that announces one endpoint.
#[derive(Debug)]
pub struct Announcer {
    endpoint: EndpointInfo,
    entries: Vec<SocketAddr>,
    key: String,
    task: Task<()>,
}

impl Announcer {
    /// Starts to announce an endpoint to one of `entries`, and after each failure to the next one.
    ///
    /// `key` is the platform's key, sent as a bearer token.
    pub fn start(endpoint: EndpointInfo, entries: Vec<SocketAddr>, key: &str) -> Self {
        let task = smol::spawn(announce(endpoint.clone(), entries.clone(), key.to_owned()));
        Self {
            endpoint,
            entries,
            key: key.to_owned(),
            task,
        }
    }

    /// Stops announcing, and deregisters the endpoint at the entry with index `entry`.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not respond; an error response counts as a response.
    pub async fn deregister(self, entry: usize) -> Result<CallResponse, CallError> {
        self.task.cancel().await;
        let path = format!("/platform/v1/endpoints/{}", self.endpoint.id);
        let bearer = format!("Bearer {}", self.key);
        let headers = [("authorization", bearer.as_str())];
        call(
            self.entries[entry],
            Method::Delete,
            &path,
            &headers,
            Vec::new(),
        )
        .await
    }
}

async fn announce(endpoint: EndpointInfo, entries: Vec<SocketAddr>, key: String) {
    let sequence = Arc::new(AtomicU64::new(0));
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    // Endpoints with different ids start at different entries.
    let mut entry_index = endpoint.id.bytes().map(usize::from).sum::<usize>();
    let bearer = format!("Bearer {key}");
    loop {
        let body = json!({
            "id": endpoint.id,
            "incarnation": incarnation,
            "sequence": sequence.fetch_add(1, Ordering::Relaxed) + 1,
            "address": endpoint.address.to_string(),
            "data_centre": endpoint.data_centre,
            "versions": endpoint.versions,
            "service": endpoint.service,
            "slots": endpoint.slots,
        });
        let entry = entries[entry_index % entries.len()];
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        let body = body.to_string().into_bytes();
        let response = call(
            entry,
            Method::Post,
            "/platform/v1/endpoints",
            &headers,
            body,
        )
        .await;
        let is_accepted = response.is_ok_and(|response| response.status == 200);
        if !is_accepted {
            entry_index += 1;
        }
        Timer::after(if is_accepted {
            ANNOUNCE_INTERVAL
        } else {
            RETRY_DELAY
        })
        .await;
    }
}
