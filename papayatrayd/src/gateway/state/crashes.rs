//! Endpoints that crash, and the requests that they ran.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::MutexGuard;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::crashes::CrashTable;
use papayatray_core::gateway::crashes::Suspect;
use papayatray_core::gateway::updates::UpdateBatch;
use papayatray_core::id::Fingerprint;
use papayatray_core::suspicion::EndpointIncarnation;

use super::Gateway;
use super::lock;
use crate::gateway::connection_pool;
use crate::gateway::fleet::SelectedEndpoint;
use crate::observe::Level;
use crate::observe::event;

/// Crash reports in one sync request.
const MAX_REPORTS_PER_SYNC: usize = 64;

/// Attempt whose connection was lost.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct LostAttempt {
    /// Id of the request.
    pub(in crate::gateway) request: String,
    pub(in crate::gateway) fingerprint: Fingerprint,
    /// Digests of the prompt parts that other requests may share, in order.
    pub(in crate::gateway) parts: Vec<u64>,
    pub(in crate::gateway) endpoint: SelectedEndpoint,
    pub(in crate::gateway) sent_at: Millis,
    /// Time at which the response head arrived.
    pub(in crate::gateway) answered_at: Option<Millis>,
    /// Time at which the first event arrived.
    pub(in crate::gateway) first_event_at: Option<Millis>,
    pub(in crate::gateway) lost_at: Millis,
}

impl LostAttempt {
    /// Returns how far the endpoint had come with the response.
    const fn stage(&self) -> &'static str {
        match (self.answered_at, self.first_event_at) {
            (_, Some(_)) => "streaming",
            (Some(_), None) => "answered",
            (None, None) => "sent",
        }
    }

    fn log_crash(&self) {
        let parts: Vec<String> = self.parts.iter().map(|part| format!("{part:x}")).collect();
        let since = |start: Option<Millis>| {
            start.map_or(-1, |start| self.lost_at.since(start).as_u64().cast_signed())
        };
        event(
            Level::Warn,
            "endpoint_crashed",
            &[
                ("endpoint", &self.endpoint.id),
                ("incarnation", &self.endpoint.incarnation),
                ("request", &self.request),
                ("fingerprint", &format_args!("{:032x}", self.fingerprint.0)),
                ("parts", &parts.join(",")),
                ("stage", &self.stage()),
                ("sent_ms", &since(Some(self.sent_at))),
                ("answered_ms", &since(self.answered_at)),
                ("first_event_ms", &since(self.first_event_at)),
            ],
        );
    }
}

/// # Crashes
impl Gateway {
    pub(in crate::gateway) fn crashes(&self) -> MutexGuard<'_, CrashTable> {
        lock(&self.crashes)
    }

    /// Returns the requests suspected of crashing endpoints.
    pub fn suspects(&self) -> Vec<Suspect> {
        self.crashes().suspects()
    }

    /// Returns the next crashes that this entry has seen, after report number `number`.
    pub fn crash_reports_since(&self, number: u64) -> UpdateBatch<Suspect> {
        lock(&self.crash_reports).batch_since(number, MAX_REPORTS_PER_SYNC)
    }

    /// Probes an endpoint whose connection was lost; if it refuses connections, records a crash.
    ///
    /// The probe runs in a separate task.
    pub(in crate::gateway) fn detect_crash(self: &Arc<Self>, lost: LostAttempt) {
        let gateway = Arc::clone(self);
        self.tasks.spawn(async move {
            if !connection_pool::is_connection_refused(lost.endpoint.address).await {
                return;
            }
            lost.log_crash();
            gateway.metrics.count_event("request_lost_in_crash");
            let crashed = EndpointIncarnation {
                endpoint: lost.endpoint.id,
                incarnation: lost.endpoint.incarnation,
            };
            let now = gateway.clock.now();
            // The control replicas learn of it with the next sync: woken by each request that was
            // lost in a crash, all entries would sync with all replicas at once.
            lock(&gateway.crash_reports).push(Suspect {
                fingerprint: lost.fingerprint,
                crashed: BTreeSet::from([crashed.clone()]),
            });
            gateway
                .crashes()
                .record_crash(lost.fingerprint, crashed, now);
        });
    }
}
