//! Endpoints that crash, and the requests that they ran.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::answers::AnswerLog;
use papayatray_core::gateway::answers::AnswerReport;
use papayatray_core::gateway::crashes::CrashCause;
use papayatray_core::gateway::crashes::CrashReport;
use papayatray_core::gateway::crashes::CrashTable;
use papayatray_core::gateway::crashes::FindingChanges;
use papayatray_core::gateway::crashes::LostRequest;
use papayatray_core::gateway::crashes::causes;
use papayatray_core::gateway::reach::Path;
use papayatray_core::gateway::updates::UpdateBatch;
use papayatray_core::gateway::updates::UpdateLog;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::Incarnation;
use papayatray_core::suspicion::EndpointIncarnation;
use papayatray_wire::peer::CrashFindings;

use super::Gateway;
use super::lock;
use crate::gateway::connection_pool;
use crate::gateway::fleet::SelectedEndpoint;
use crate::gateway::routed_request::RoutedRequest;
use crate::observe::Level;
use crate::observe::event;

/// Crash reports retained until the control replicas have received them: the requests of one entry
/// that are in flight at the endpoints of a large deployment.
const MAX_CRASH_REPORTS: usize = 1_024;
/// Crash reports in one sync request.
const MAX_REPORTS_PER_SYNC: usize = 64;
/// Time for which the findings of a leader are used after it last confirmed them.
const FINDINGS_TTL: Millis = Millis::from_secs(3);
/// Time for which what a former leader had quarantined stays so; its successor, or the same replica
/// after a restart, evaluates the evidence anew meanwhile.
const HANDOVER_TIME: Millis = Millis::from_secs(30);
/// Time after the first event of a stream from which crashes are not attributed to the request;
/// requests that crash endpoints do so within a tenth of a second of the response head.
pub(in crate::gateway) const ANSWER_START: Millis = Millis::new(250);

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

    /// Returns whether the answer had started long before, so that the request is no cause of the
    /// crash.
    fn was_answered(&self) -> bool {
        self.first_event_at
            .is_some_and(|at| self.lost_at.since(at) >= ANSWER_START)
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

impl From<LostAttempt> for LostRequest {
    fn from(lost: LostAttempt) -> Self {
        Self {
            endpoint: EndpointIncarnation {
                endpoint: lost.endpoint.id,
                incarnation: lost.endpoint.incarnation,
            },
            service: lost.endpoint.service,
            request: lost.fingerprint,
            parts: lost.parts,
            sent_at: lost.sent_at,
            crashed_at: lost.lost_at,
            has_started: lost.answered_at.is_some(),
        }
    }
}

/// Findings received from one control replica.
#[derive(Debug, Default)]
struct ReceivedFindings {
    quarantined: BTreeSet<CrashCause>,
    /// Suspects, and the time of the first crash that counts against each, by the clock of this entry.
    suspected: Vec<(CrashCause, Millis)>,
    /// Whether the replica was the leader when it confirmed the findings.
    is_from_leader: bool,
    updated_at: Millis,
}

/// What makes endpoints crash, as far as an entry knows.
#[derive(Debug)]
pub(super) struct CrashView {
    /// Evidence from this entry's own requests, used while no leader can be reached.
    own: CrashTable,
    /// Crashes that this entry has seen, for the control replicas.
    reports: UpdateLog<LostRequest>,
    answers: AnswerLog,
    /// Findings by the address of the control replica.
    findings: BTreeMap<String, ReceivedFindings>,
    /// Address and incarnation of the last leader.
    leader: Option<(String, Incarnation)>,
    /// What former leaders had quarantined, and until when it stays so.
    handover: BTreeMap<CrashCause, Millis>,
}

impl Default for CrashView {
    fn default() -> Self {
        Self {
            own: CrashTable::default(),
            reports: UpdateLog::new(MAX_CRASH_REPORTS),
            answers: AnswerLog::default(),
            findings: BTreeMap::new(),
            leader: None,
            handover: BTreeMap::new(),
        }
    }
}

impl CrashView {
    /// Returns the first of these causes that is quarantined.
    fn find_quarantined<I>(&self, causes: I, now: Millis) -> Option<CrashCause>
    where
        I: IntoIterator<Item = CrashCause>,
    {
        let is_leading = |received: &ReceivedFindings| {
            received.is_from_leader && now.since(received.updated_at) < FINDINGS_TTL
        };
        let has_leading = self.findings.values().any(is_leading);
        let is_quarantined = |cause: &CrashCause| {
            let mut used = self.findings.values();
            used.any(|r| (is_leading(r) || !has_leading) && r.quarantined.contains(cause))
                || (!has_leading && self.own.findings().quarantined.contains(cause))
                || self.handover.get(cause).is_some_and(|until| now < *until)
        };
        causes.into_iter().find(is_quarantined)
    }

    /// Records which replica leads; a change keeps what the former leader had quarantined.
    fn record_leader(&mut self, control: &str, incarnation: Incarnation, now: Millis) {
        let is_same =
            |(address, known): &(String, Incarnation)| address == control && *known == incarnation;
        if self.leader.as_ref().is_some_and(is_same) {
            return;
        }
        let former = self.leader.replace((control.to_owned(), incarnation));
        let findings = former.and_then(|(address, _)| self.findings.get(&address));
        let quarantined = findings.map(|received| received.quarantined.clone());
        self.handover.retain(|_, until| now < *until);
        let until = now + HANDOVER_TIME;
        let kept = quarantined.into_iter().flatten();
        self.handover.extend(kept.map(|cause| (cause, until)));
    }
}

/// # Crashes
impl Gateway {
    /// Returns the number of requests and prompt parts with evidence that they crash endpoints.
    pub fn suspect_count(&self) -> usize {
        lock(&self.crashes).own.len()
    }

    /// Returns the quarantined cause of crashes in a request, if it has one.
    pub(in crate::gateway) fn find_quarantined(
        &self,
        request: &RoutedRequest,
    ) -> Option<CrashCause> {
        let causes = causes(request.fingerprint, &request.shared_parts);
        lock(&self.crashes).find_quarantined(causes, self.clock.now())
    }

    /// Waits until a request has a quarantined cause of crashes, and returns the cause.
    pub(in crate::gateway) async fn wait_until_quarantined(
        &self,
        request: &RoutedRequest,
    ) -> CrashCause {
        loop {
            let listener = self.quarantine_changed.listen();
            if let Some(cause) = self.find_quarantined(request) {
                return cause;
            }
            listener.await;
        }
    }

    /// Returns the next crashes that this entry has seen, after report number `number`.
    pub fn crash_reports_since(&self, number: u64) -> UpdateBatch<CrashReport> {
        let now = self.clock.now();
        let batch = lock(&self.crashes)
            .reports
            .batch_since(number, MAX_REPORTS_PER_SYNC);
        UpdateBatch {
            last_number: batch.last_number,
            updates: batch.updates.iter().map(|lost| lost.report(now)).collect(),
        }
    }

    /// Returns the answers that the replica at `control` has to know of.
    pub fn answer_report(&self, control: &str) -> AnswerReport {
        let crashes = lock(&self.crashes);
        let received = crashes.findings.get(control);
        received.map_or_else(AnswerReport::default, |received| {
            crashes
                .answers
                .report(&received.suspected, self.clock.now())
        })
    }

    /// Records that the endpoint began at `began_at` to answer the request, and did not crash.
    pub(in crate::gateway) fn record_answer(&self, request: &RoutedRequest, began_at: Millis) {
        let causes = || causes(request.fingerprint, &request.shared_parts);
        let mut crashes = lock(&self.crashes);
        crashes.answers.record(&request.service, causes(), began_at);
        crashes
            .own
            .record_service_answer(&request.service, began_at);
        for cause in causes() {
            crashes.own.record_answer(cause, began_at);
        }
    }

    /// Applies the findings of a control replica, or confirms those that it sent before.
    pub(super) fn apply_findings(
        &self,
        control: &str,
        incarnation: Incarnation,
        findings: Option<CrashFindings>,
        is_leader: bool,
    ) {
        let now = self.clock.now();
        let mut crashes = lock(&self.crashes);
        if is_leader {
            crashes.record_leader(control, incarnation, now);
        }
        let received = crashes.findings.entry(control.to_owned()).or_default();
        received.is_from_leader = is_leader;
        received.updated_at = now;
        let Some(findings) = findings else {
            return;
        };
        let quarantined: BTreeSet<CrashCause> = findings.quarantined.into_iter().collect();
        let has_changed = received.quarantined != quarantined;
        received.quarantined = quarantined;
        let suspected = findings.suspected.into_iter();
        received.suspected = suspected
            .map(|(cause, age)| (cause, now.since(age)))
            .collect();
        drop(crashes);
        if has_changed {
            self.quarantine_changed.notify(usize::MAX);
        }
    }

    /// Evaluates the evidence from this entry's own requests, if there is any.
    pub(in crate::gateway) fn evaluate_crashes(&self) {
        let now = self.clock.now();
        let mut crashes = lock(&self.crashes);
        if crashes.own.needs_evaluation(now) {
            let report = crashes
                .answers
                .report(&crashes.own.findings().suspected, now);
            crashes.own.record_report(&report, now);
            // Only this entry's answers count, and they are recorded.
            let changes = crashes.own.evaluate(u64::MAX, now);
            drop(crashes);
            log_changes(&changes, "entry");
        }
    }

    /// Probes an endpoint whose connection was lost; if it refuses connections, records a crash.
    ///
    /// The probe runs in a separate task.
    pub(in crate::gateway) fn detect_crash(self: &Arc<Self>, lost: LostAttempt) {
        self.fleet()
            .record_lost_connection(&lost.endpoint, lost.lost_at);
        let gateway = Arc::clone(self);
        self.tasks.spawn(async move {
            if !gateway.has_crashed(&lost.endpoint).await {
                return;
            }
            lost.log_crash();
            gateway.metrics.count_event("request_lost_in_crash");
            if lost.was_answered() {
                return;
            }
            let lost = LostRequest::from(lost);
            let mut crashes = lock(&gateway.crashes);
            crashes.own.record([&lost]);
            // The control replicas learn of it with the next sync: woken by each request that was
            // lost in a crash, all entries would sync with all replicas at once.
            crashes.reports.push(lost);
        });
    }
}

impl Gateway {
    /// Returns whether an endpoint refuses connections, of another entry too: those of this entry may be
    /// refused because its links are cut.
    async fn has_crashed(&self, endpoint: &SelectedEndpoint) -> bool {
        let path = self.fleet().path(endpoint);
        if path == Path::Direct && !connection_pool::is_connection_refused(endpoint.address).await {
            return false;
        }
        match (path, self.is_reached_elsewhere(endpoint).await) {
            (_, Some(is_reached)) => !is_reached,
            // Without another entry's word, the refusal decides.
            (Path::Direct, None) => true,
            (Path::Indirect, None) => false,
        }
    }
}

/// Logs what `evaluated_by`, an entry or a control replica, quarantines and releases, and the evidence
/// against other requests that crash endpoints.
pub(in crate::gateway) fn log_changes(changes: &FindingChanges, evaluated_by: &str) {
    for (cause, crashes) in &changes.quarantined {
        event(
            Level::Warn,
            "cause_quarantined",
            &[
                ("cause", cause),
                ("crashes", crashes),
                ("by", &evaluated_by),
            ],
        );
    }
    for weighed in &changes.weighed {
        event(
            Level::Info,
            "request_weighed",
            &[
                ("cause", &CrashCause::Request(weighed.request)),
                ("crashes", &weighed.crashes),
                ("unexplained", &weighed.unexplained),
                ("counted", &weighed.counted),
                ("answered", &weighed.was_answered),
                ("by", &evaluated_by),
            ],
        );
    }
    for cause in &changes.released {
        event(
            Level::Info,
            "cause_released",
            &[("cause", cause), ("by", &evaluated_by)],
        );
    }
}
