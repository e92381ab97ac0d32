//! The side of the entry that cannot connect to endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::homes::Homes;
use papayatray_core::gateway::hops::HopCandidate;
use papayatray_core::gateway::hops::HopTable;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_wire::link::ClusterKey;
use smol::Timer;
use smol::future::FutureExt;

use super::header;
use super::header::HopFailure;
use super::header::HopTarget;
use crate::gateway::connection_pool::ConnectionKey;
use crate::gateway::connection_pool::EndpointResponse;
use crate::gateway::connection_pool::ExchangeError;
use crate::gateway::connection_pool::OutgoingRequest;
use crate::gateway::fleet::SelectedEndpoint;
use crate::gateway::state::Gateway;
use crate::observe::request_event;

/// Time for another entry to say whether it can connect to an endpoint.
const PROBE_TIMEOUT: Millis = Millis::new(1_000);
/// Entries that are asked in turn to carry one attempt.
const MAX_ENTRIES: usize = 3;

/// Access to the other entries as hops.
#[derive(Debug)]
pub struct Hops {
    /// Address at which other entries reach this one.
    pub(in crate::gateway) address: SocketAddr,
    /// Key that all processes of the deployment share.
    pub(in crate::gateway) key: ClusterKey,
    table: Arc<Mutex<HopTable>>,
}

impl Hops {
    pub(in crate::gateway) fn new(address: SocketAddr, key: ClusterKey) -> Self {
        Self {
            address,
            key,
            table: Arc::default(),
        }
    }

    fn start(&self, vm: &VmId) -> HopGuard {
        lock(&self.table).start(vm);
        HopGuard {
            table: Arc::clone(&self.table),
            vm: vm.clone(),
        }
    }
}

/// Guard that counts one attempt as in flight through an entry.
#[derive(Debug)]
pub(in crate::gateway) struct HopGuard {
    table: Arc<Mutex<HopTable>>,
    vm: VmId,
}

impl Drop for HopGuard {
    fn drop(&mut self) {
        lock(&self.table).end(&self.vm);
    }
}

fn lock(table: &Mutex<HopTable>) -> MutexGuard<'_, HopTable> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

/// # Hops
impl Gateway {
    /// Sends a request through another entry and waits for the head of the response.
    ///
    /// Only entries in `homes` or in this entry's region are asked. Returns `None` if no entry carries
    /// it, in which case nothing was sent.
    pub(in crate::gateway) async fn exchange_indirectly(
        &self,
        endpoint: &SelectedEndpoint,
        outgoing: &OutgoingRequest,
        homes: &Homes,
    ) -> Option<Result<EndpointResponse, ExchangeError>> {
        let hops = self.hops.as_ref()?;
        let mut entries = self.entries();
        entries
            .retain(|_, info| homes.may_carry(&info.data_centre, &self.data_centre, &self.regions));
        for _ in 0..MAX_ENTRIES {
            let entry = self.pick_hop(hops, entries.values(), endpoint)?;
            let guard = hops.start(&entry.vm);
            let result = self
                .exchange_through(hops, entry, guard, endpoint, outgoing)
                .await;
            self.log_hop(&outgoing.id, entry, endpoint, &result);
            match result {
                Err(ExchangeError::Declined(_)) => {
                    lock(&hops.table).avoid(&entry.vm, self.clock.now());
                }
                Ok(response) => {
                    self.record_answered_elsewhere(endpoint);
                    return Some(Ok(response));
                }
                Err(error) => {
                    if matches!(error, ExchangeError::UnreachableElsewhere) {
                        self.record_unreachable_elsewhere(endpoint);
                    }
                    return Some(Err(error));
                }
            }
        }
        None
    }

    /// Asks another entry whether it can connect to an endpoint; returns `None` if no entry says so in
    /// time.
    pub(in crate::gateway) async fn is_reached_elsewhere(
        &self,
        endpoint: &SelectedEndpoint,
    ) -> Option<bool> {
        let hops = self.hops.as_ref()?;
        let entries = self.entries();
        let entry = self.pick_hop(hops, entries.values(), endpoint)?;
        let target = HopTarget {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            remaining: PROBE_TIMEOUT,
            needs_new_connection: false,
            is_probe: true,
        };
        let mut probe = OutgoingRequest::default();
        target.add_to(&mut probe.headers);
        let asking = async { Some(self.send_to_entry(hops, entry, &probe).await) };
        let timeout = async {
            Timer::after(PROBE_TIMEOUT.to_duration()).await;
            None
        };
        let answered = asking.or(timeout).await?.ok()?;
        match HopFailure::of(answered.response.headers()) {
            None => Some(true),
            Some(HopFailure::Unreachable) => Some(false),
            Some(_) => None,
        }
    }

    fn pick_hop<'a, I>(
        &self,
        hops: &Hops,
        entries: I,
        endpoint: &SelectedEndpoint,
    ) -> Option<&'a EntryInfo>
    where
        I: Iterator<Item = &'a EntryInfo>,
    {
        let usable = entries
            .filter(|info| info.vm != self.vm && !info.is_cut_off && !info.peer_address.is_empty());
        let usable: Vec<&EntryInfo> = usable.collect();
        let candidates = usable.iter().map(|info| HopCandidate {
            vm: &info.vm,
            is_near: info.data_centre == self.data_centre
                || info.data_centre == endpoint.data_centre,
        });
        let candidates: Vec<HopCandidate<'_>> = candidates.collect();
        let now = self.clock.now();
        let picked = lock(&hops.table).pick(&candidates, rand::random(), now)?;
        usable.iter().find(|info| info.vm == *picked).copied()
    }

    /// Sends a request through one entry.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Declined`] if another entry may be asked.
    async fn exchange_through(
        &self,
        hops: &Hops,
        entry: &EntryInfo,
        guard: HopGuard,
        endpoint: &SelectedEndpoint,
        outgoing: &OutgoingRequest,
    ) -> Result<EndpointResponse, ExchangeError> {
        let target = HopTarget {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            remaining: outgoing.remaining,
            needs_new_connection: outgoing.needs_new_connection,
            is_probe: false,
        };
        let mut carried = outgoing.clone();
        header::remove_all(&mut carried.headers);
        target.add_to(&mut carried.headers);
        let mut response = self.send_to_entry(hops, entry, &carried).await?;
        let failure = HopFailure::of(response.response.headers());
        let Some(failure) = failure else {
            response.connection.hop = Some(guard);
            return Ok(response);
        };
        Err(match failure {
            HopFailure::Declined => ExchangeError::Declined(failure.to_string()),
            HopFailure::Unreachable => ExchangeError::UnreachableElsewhere,
            HopFailure::NotSent => ExchangeError::NotSent(failure.to_string()),
            HopFailure::Lost => ExchangeError::Lost(failure.to_string()),
        })
    }

    /// Sends a request to another entry, over a pooled connection if the request may use one.
    async fn send_to_entry(
        &self,
        hops: &Hops,
        entry: &EntryInfo,
        outgoing: &OutgoingRequest,
    ) -> Result<EndpointResponse, ExchangeError> {
        let key = ConnectionKey::Entry(entry.peer_address.clone());
        let address: Result<SocketAddr, _> = entry.peer_address.parse();
        let address =
            address.map_err(|error| ExchangeError::Declined(format!("peer address: {error}")))?;
        let opening = self
            .connections
            .open_authenticated(key.clone(), address, &hops.key);
        let now = self.clock.now();
        let sent = self.connections.send(&key, outgoing, now, opening).await;
        sent.map_err(|error| match error {
            ExchangeError::NotSent(text) => ExchangeError::Declined(text),
            other => ExchangeError::HopLost(other.to_string()),
        })
    }

    fn log_hop(
        &self,
        id: &str,
        entry: &EntryInfo,
        endpoint: &SelectedEndpoint,
        result: &Result<EndpointResponse, ExchangeError>,
    ) {
        let outcome = match result {
            Ok(_) => "answered".to_owned(),
            Err(error) => error.to_string(),
        };
        self.metrics.count_event(if result.is_ok() {
            "hop_answered"
        } else {
            "hop_failed"
        });
        request_event(
            id,
            result.is_err(),
            "hop_used",
            &[
                ("entry", &entry.vm),
                ("endpoint", &endpoint.id),
                ("outcome", &outcome),
            ],
        );
    }
}
