//! What endpoints state about themselves, and when they may get requests again.

use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::homes::Homes;
use papayatray_core::gateway::homes::Regions;
use papayatray_core::gateway::rate_limits::RateLimits;
use papayatray_core::gateway::rate_limits::RateStatement;
use papayatray_core::gateway::rate_limits::RequestRate;
use papayatray_core::gateway::updates::UpdateBatch;
use papayatray_core::id::ServiceId;
use papayatray_wire::peer::Deregistration;

use super::Fleet;
use super::MAX_DEPARTURES;
use super::MAX_RATE_STATEMENTS;
use super::SelectedEndpoint;

/// # Statements of endpoints
impl Fleet {
    /// Records that an endpoint stated in a response that it is leaving, which holds for the rest
    /// of its incarnation.
    ///
    /// Returns whether it accepted requests until now.
    pub(in crate::gateway) fn record_departure(&mut self, selected: &SelectedEndpoint) -> bool {
        let departure = Deregistration {
            id: selected.id.clone(),
            incarnation: Some(selected.incarnation),
        };
        let was_accepting = self
            .directory
            .deregister_incarnation(&departure.id, departure.incarnation);
        if was_accepting {
            self.departures.push(departure);
        }
        was_accepting
    }

    /// Returns the departures that this entry recorded after number `number`.
    pub(in crate::gateway) fn departures_since(&self, number: u64) -> UpdateBatch<Deregistration> {
        self.departures.batch_since(number, MAX_DEPARTURES)
    }

    /// Records that an endpoint wants no requests from this entry for a time.
    pub(in crate::gateway) fn record_pause(
        &mut self,
        selected: &SelectedEndpoint,
        duration: Millis,
        now: Millis,
    ) {
        self.pauses
            .record(&selected.id, selected.incarnation, duration, now);
    }

    /// Returns the rate limits that endpoints have stated.
    pub(in crate::gateway) const fn rate_limits(&mut self) -> &mut RateLimits {
        &mut self.rate_limits
    }

    /// Records that an endpoint stated a rate limit to this entry; returns whether it is a new one.
    pub(in crate::gateway) fn record_rate_limit(
        &mut self,
        selected: &SelectedEndpoint,
        rate: RequestRate,
        now: Millis,
    ) -> bool {
        let (id, incarnation) = (&selected.id, selected.incarnation);
        let statement = self.rate_limits.record(id, incarnation, rate, now);
        self.publish(statement)
    }

    /// Records that an endpoint stated no rate limit in its response to a request sent at `sent_at`;
    /// returns whether a limit ends with it.
    pub(in crate::gateway) fn lift_rate_limit(
        &mut self,
        selected: &SelectedEndpoint,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        let (id, incarnation) = (&selected.id, selected.incarnation);
        let statement = self.rate_limits.lift(id, incarnation, sent_at, now);
        self.publish(statement)
    }

    fn publish(&mut self, statement: Option<RateStatement>) -> bool {
        let is_new = statement.is_some();
        if let Some(statement) = statement {
            self.rate_statements.push(statement);
        }
        is_new
    }

    /// Returns the changes of rate limits that this entry recorded after number `number`.
    pub(in crate::gateway) fn rate_statements_since(
        &self,
        number: u64,
    ) -> UpdateBatch<RateStatement> {
        self.rate_statements
            .batch_since(number, MAX_RATE_STATEMENTS)
    }

    /// Returns the time until an endpoint may get a request from this entry, or `None` if it may
    /// now: it asked for a pause, or the entry's share of its rate limit, or of the rate of a cold
    /// endpoint, is used up.
    pub(super) fn wait_for(&self, endpoint: &Endpoint, now: Millis) -> Option<Millis> {
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let pause = self.pauses.remaining(id, incarnation, now);
        pause
            .max(self.rate_limits.remaining(id, incarnation, now))
            .max(self.warm_up_wait(endpoint, now))
    }

    /// Returns the time until the first of a service's endpoints in the home regions may get
    /// requests again, or `None` unless all that accept requests are paused or at their rate limits.
    pub(in crate::gateway) fn shortest_wait(
        &self,
        service: &ServiceId,
        homes: &Homes,
        regions: &Regions,
        now: Millis,
    ) -> Option<Millis> {
        let is_home = |e: &Endpoint| homes.contains(&e.data_centre, regions);
        let accepting = self.directory.accepting();
        let accepting =
            accepting.filter(|e| e.runs(service) && is_home(e) && !self.is_evacuated(e));
        let mut shortest = None;
        for endpoint in accepting {
            let remaining = self.wait_for(endpoint, now)?;
            shortest = Some(shortest.map_or(remaining, |other: Millis| other.min(remaining)));
        }
        shortest
    }
}
