//! Waits of requests at an entry that has just started, for the plan and for endpoints.

use event_listener::Event;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::freshness;
use papayatray_core::id::ServiceId;
use smol::Timer;
use smol::future::FutureExt;

use super::Gateway;

impl Gateway {
    /// Waits for the first evidence if the process started only recently.
    ///
    /// Returns when the evidence arrives, or after a fraction of `time_left`.
    pub(in super::super) async fn wait_for_plan(&self, time_left: Option<Millis>) {
        let is_confirmed = || self.has_fresh_evidence();
        self.wait_at_startup(&self.plan_confirmed, time_left, is_confirmed)
            .await;
    }

    /// Waits for the first endpoint of a service if the process started only recently.
    ///
    /// After a restart of all VMs, the control replicas learn of the endpoints with their next
    /// heartbeats, some tenths of a second after the plan is in force. Returns when one is known, or
    /// after a fraction of `time_left`.
    pub(in super::super) async fn wait_for_endpoint(&self, service: &ServiceId, time_left: Millis) {
        let is_known = || self.fleet().has_accepting(service);
        self.wait_at_startup(&self.endpoints_changed, Some(time_left), is_known)
            .await;
    }

    /// Waits until `is_done` is true, which may change when `progress` is notified.
    async fn wait_at_startup<F>(&self, progress: &Event, time_left: Option<Millis>, is_done: F)
    where
        F: Fn() -> bool,
    {
        let wait_start = self.clock.now();
        let wait_end =
            wait_start + freshness::startup_wait(wait_start.since(self.started_at), time_left);
        while !is_done() {
            let now = self.clock.now();
            let listener = progress.listen();
            if now >= wait_end || is_done() {
                return;
            }
            let timeout = async {
                Timer::after(wait_end.since(now).to_duration()).await;
            };
            listener.or(timeout).await;
        }
    }
}
