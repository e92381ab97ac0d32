//! Announcements of stand-ins, renewed until they leave or are dropped.

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

use crate::client::Answer;
use crate::client::CallError;
use crate::client::call;

/// Time between two announcements.
const EVERY: Duration = Duration::from_millis(1_500);
/// Time before a failed announcement is tried at another entry.
const RETRY: Duration = Duration::from_millis(100);

/// What an endpoint tells of itself.
#[derive(Clone, Debug)]
pub struct Facts {
    /// Name.
    pub id: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Versions, for model engines.
    pub versions: Vec<String>,
    /// Service, for plain services.
    pub service: Option<String>,
    /// Requests that run at once.
    pub slots: u32,
}

/// Announcer of one endpoint.
#[derive(Debug)]
pub struct Announcer {
    facts: Facts,
    entries: Vec<SocketAddr>,
    key: String,
    task: Task<()>,
}

impl Announcer {
    /// Begins to announce at `entries` with the platform's `key`.
    pub fn start(facts: Facts, entries: Vec<SocketAddr>, key: &str) -> Self {
        let task = smol::spawn(announce(facts.clone(), entries.clone(), key.to_owned()));
        Self {
            facts,
            entries,
            key: key.to_owned(),
            task,
        }
    }

    /// Says good-bye at the entry `number`, and announces no more.
    ///
    /// # Errors
    ///
    /// Returns why the good-bye did not arrive.
    pub async fn leave(self, number: usize) -> Result<Answer, CallError> {
        self.task.cancel().await;
        let path = format!("/platform/v1/endpoints/{}", self.facts.id);
        let bearer = format!("Bearer {}", self.key);
        let headers = [("authorization", bearer.as_str())];
        call(
            self.entries[number],
            Method::Delete,
            &path,
            &headers,
            Vec::new(),
        )
        .await
    }
}

async fn announce(facts: Facts, entries: Vec<SocketAddr>, key: String) {
    let sequence = Arc::new(AtomicU64::new(0));
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    let mut at = facts.id.bytes().map(usize::from).sum::<usize>();
    let bearer = format!("Bearer {key}");
    loop {
        let body = json!({
            "id": facts.id,
            "incarnation": incarnation,
            "sequence": sequence.fetch_add(1, Ordering::Relaxed) + 1,
            "address": facts.address.to_string(),
            "data_centre": facts.data_centre,
            "versions": facts.versions,
            "service": facts.service,
            "slots": facts.slots,
        });
        let entry = entries[at % entries.len()];
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        let body = body.to_string().into_bytes();
        let told = call(
            entry,
            Method::Post,
            "/platform/v1/endpoints",
            &headers,
            body,
        )
        .await;
        let is_told = told.is_ok_and(|answer| answer.status == 200);
        if !is_told {
            at += 1;
        }
        Timer::after(if is_told { EVERY } else { RETRY }).await;
    }
}
