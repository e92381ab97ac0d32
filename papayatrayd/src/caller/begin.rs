//! Beginning of a chat: version, permit, endpoint and first event.

use std::sync::Arc;

use http_types::Method;
use papayatray_core::catalogue::Version;
use papayatray_core::clock::Millis;
use papayatray_core::id::EndpointId;
use papayatray_core::id::VersionId;
use papayatray_core::router::Facts;
use papayatray_core::router::Route;
use papayatray_core::router::RouteError;
use papayatray_core::router::route;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::header;

use super::ask::Ask;
use super::ask::no_lease;
use super::chat::Chat;
use super::claim::Claim;
use super::dispatch::Aboard;
use super::dispatch::Dispatch;
use crate::engine::EndpointRequest;
use crate::engine::Event;
use crate::engine::Source;
use crate::engine::SourceError;
use crate::entry::Permit;
use crate::entry::SharedPool;
use crate::entry::Target;
use crate::http::Refused;

/// Time within which an endpoint must begin to answer.
const FIRST_LIMIT: Millis = Millis::from_secs(10);
/// Time after which a caller may come back where nothing is served.
const NONE_RETRY: Millis = Millis::new(1_000);

/// Version, with leave to use its pool.
#[derive(Debug)]
struct Berth {
    version: VersionId,
    slot: Arc<SharedPool>,
    permit: Permit,
}

/// Chat that an endpoint has begun to answer.
#[derive(Debug)]
pub(super) struct Begun<'a> {
    pub(super) version: VersionId,
    pub(super) about: Version,
    pub(super) first: Event,
    pub(super) source: Source<'a>,
    pub(super) aboard: Aboard,
    pub(super) permit: Permit,
}

/// What was tried so far.
#[derive(Debug, Default)]
pub(super) struct Tried {
    pub(super) endpoints: Vec<EndpointId>,
    pub(super) perhaps_run: bool,
}

impl Chat {
    /// Decides which versions may answer.
    fn route(&self) -> Result<Route, Refused> {
        let entry = &self.ask.entry;
        let view = entry.view();
        let quotas = entry.quotas();
        let facts = Facts {
            catalogue: &view.catalogue,
            evidence: &view.evidence,
            quotas: &quotas,
            draw: rand::random(),
        };
        let is_served =
            |version: &VersionId| entry.registry.is_served(&Target::Version(version.clone()));
        let organisation = &self.ask.key.organisation;
        let decided = route(&facts, organisation, &self.wanted, &self.kind, is_served);
        decided.map_err(|error| no_version(&self.ask, &error))
    }

    /// Returns leave to use the first version that has room, or waits for the first of all.
    async fn berth(&self, route: &Route) -> Result<Berth, Refused> {
        let entry = &self.ask.entry;
        let pools: Vec<(VersionId, Arc<SharedPool>)> = route
            .versions
            .iter()
            .filter_map(|version| {
                let slot = entry.registry.pool(&Target::Version(version.clone()))?;
                Some((version.clone(), slot))
            })
            .collect();
        for (version, slot) in &pools {
            if let Some(permit) = slot.try_acquire(self.ask.wish()) {
                let slot = Arc::clone(slot);
                return Ok(Berth {
                    version: version.clone(),
                    slot,
                    permit,
                });
            }
        }
        let Some((version, slot)) = pools.into_iter().next() else {
            return Err(no_version(&self.ask, &RouteError::NoEndpoint));
        };
        let _span = self.ask.span.child("admission");
        let entered = slot.acquire(self.ask.wish()).await;
        let permit = entered.map_err(|retry| shed(&self.ask, retry))?;
        Ok(Berth {
            version,
            slot,
            permit,
        })
    }

    /// Tells why the version may not be used any more, if so.
    fn check(&self, version: &VersionId) -> Result<(), Refused> {
        let entry = &self.ask.entry;
        if !entry.has_lease() {
            return Err(no_lease(entry).about(self.ask.key.request.as_str()));
        }
        let view = entry.view();
        let organisation = &self.ask.key.organisation;
        let is_allowed = if self.in_session {
            view.catalogue.may_continue(organisation, version)
        } else {
            view.catalogue.may_start(organisation, version)
        };
        if is_allowed {
            return Ok(());
        }
        if self.in_session {
            return Err(no_version(
                &self.ask,
                &RouteError::Withdrawn(version.clone()),
            ));
        }
        let message = format!("version {version} was taken back just now");
        Err(self
            .ask
            .refuse(ErrorCode::NoCapacity, message)
            .retry_after(Millis::ZERO))
    }

    /// Begins the chat: returns once the first event is there.
    ///
    /// Where a version has nobody to answer, or one in roll-out fails, the next version is tried.
    pub(super) async fn begin(
        &self,
        claim: &mut Option<Claim>,
        tried: &mut Tried,
    ) -> Result<Begun<'_>, Refused> {
        let mut route = self.route()?;
        loop {
            let Some(first) = route.versions.first().cloned() else {
                return Err(no_version(&self.ask, &RouteError::NoEndpoint));
            };
            if route.uses_exposure && !self.ask.entry.quotas().spend(&first) {
                route.drop(&first);
                continue;
            }
            let berth = self.berth(&route).await?;
            let version = berth.version.clone();
            let is_exposed = route.uses_exposure && version == first;
            let refused = match self.begin_on(berth, is_exposed, claim, tried).await {
                Ok(begun) => return Ok(begun),
                Err(refused) => refused,
            };
            let is_empty = refused.code() == ErrorCode::NoCapacity;
            let has_failed = refused.code() == ErrorCode::EndpointFailed && is_exposed;
            route.drop(&version);
            if route.versions.is_empty() || !(is_empty || has_failed) {
                return Err(refused);
            }
        }
    }

    /// Begins the chat on one version.
    async fn begin_on(
        &self,
        berth: Berth,
        is_exposed: bool,
        claim: &mut Option<Claim>,
        tried: &mut Tried,
    ) -> Result<Begun<'_>, Refused> {
        let Berth {
            version,
            slot,
            permit,
        } = berth;
        let entry = &self.ask.entry;
        let view = entry.view();
        let Some(about) = view.catalogue.versions.get(&version).cloned() else {
            return Err(no_version(&self.ask, &RouteError::Withdrawn(version)));
        };
        let may_send = || self.check(&version);
        let mut dispatch = Dispatch {
            ask: &self.ask,
            slot: &slot,
            exchange: self.exchange(&version),
            prefix: self.prefix,
            may_send: &may_send,
            claim: claim.as_mut(),
            avoid: std::mem::take(&mut tried.endpoints),
            perhaps_run: tried.perhaps_run,
            is_exposed,
        };
        let begun = loop {
            let mut dispatched = match dispatch.run().await {
                Ok(dispatched) => dispatched,
                Err(refused) => {
                    if refused.code() == ErrorCode::EndpointFailed {
                        entry.tally(&version, false);
                    }
                    break Err(refused);
                }
            };
            let status = u16::from(dispatched.sent.response.status());
            if status != 200 {
                entry.tally(&version, status < 500);
                break Err(self.refused_by(status, &mut dispatched.sent).await);
            }
            let member = dispatched.aboard.member.clone();
            let progress = entry.settings.progress.0;
            let attempt = dispatched.aboard.attempt;
            let sent = dispatched.sent;
            let mut source = Source::new(&entry.connections, &member, attempt, progress, sent);
            let mut aboard = dispatched.aboard;
            match source.next().await {
                Ok(first) => {
                    aboard.answered();
                    break Ok((first, source, aboard));
                }
                Err(error) => {
                    entry.tally(&version, false);
                    if let Err(refused) = broken(&mut dispatch, &mut aboard, &error).await {
                        break Err(refused);
                    }
                }
            }
        };
        tried.endpoints = std::mem::take(&mut dispatch.avoid);
        tried.perhaps_run = dispatch.perhaps_run;
        let (first, source, aboard) = begun?;
        Ok(Begun {
            version,
            about,
            first,
            source,
            aboard,
            permit,
        })
    }

    /// Notes that a chat broke off, and tells whether it may be begun anew.
    pub(super) async fn break_off(
        &self,
        begun: &mut Begun<'_>,
        error: &SourceError,
        tried: &mut Tried,
        has_claim: bool,
    ) -> Result<(), Refused> {
        self.ask.entry.tally(&begun.version, false);
        let target = Target::Version(begun.version.clone());
        let Some(slot) = self.ask.entry.registry.pool(&target) else {
            return Err(no_version(&self.ask, &RouteError::NoEndpoint).perhaps_run());
        };
        let mut dispatch = Dispatch {
            ask: &self.ask,
            slot: &slot,
            exchange: self.exchange(&begun.version),
            prefix: None,
            may_send: &|| Ok(()),
            claim: None,
            avoid: std::mem::take(&mut tried.endpoints),
            perhaps_run: true,
            is_exposed: false,
        };
        let outcome = broken(&mut dispatch, &mut begun.aboard, error).await;
        tried.endpoints = std::mem::take(&mut dispatch.avoid);
        tried.perhaps_run = true;
        if has_claim {
            return Err(super::claim::unknown(&self.ask));
        }
        outcome
    }

    fn exchange(&self, version: &VersionId) -> EndpointRequest {
        let mut body = self.body.clone();
        body.insert("model".to_owned(), version.to_string().into());
        body.insert("stream".to_owned(), true.into());
        EndpointRequest {
            method: Method::Post,
            path: "/v1/chat/completions".to_owned(),
            headers: vec![
                ("content-type".to_owned(), "application/json".to_owned()),
                (header::PRIORITY.to_owned(), self.ask.priority().to_owned()),
                (
                    header::DEADLINE.to_owned(),
                    self.ask.left().as_u64().to_string(),
                ),
            ],
            // A map that was read from JSON always has a JSON form.
            body: serde_json::to_vec(&body).unwrap_or_default(),
            attempt: 0,
            limit: FIRST_LIMIT,
            fresh: false,
        }
    }

    /// Returns the refusal that passes on an endpoint's own.
    async fn refused_by(&self, status: u16, sent: &mut crate::engine::Sent) -> Refused {
        let text = sent.response.body_string().await.unwrap_or_default();
        let text: String = text.chars().take(500).collect();
        let message = format!("the endpoint refused with status {status}: {text}");
        if status < 500 {
            return self.ask.refuse(ErrorCode::BadRequest, message);
        }
        self.ask
            .refuse(ErrorCode::EndpointFailed, message)
            .perhaps_run()
    }
}

/// Deals with a stream that cannot go on; `Ok` means that another endpoint may be tried.
async fn broken(
    dispatch: &mut Dispatch<'_>,
    aboard: &mut Aboard,
    error: &SourceError,
) -> Result<(), Refused> {
    match error {
        SourceError::Gone(_) => dispatch.look_for_crash(aboard).await,
        SourceError::Forgotten => {
            // The endpoint is there but knows nothing of its work: it was started anew.
            aboard.lost();
            super::trial::report_crash(dispatch.ask, &aboard.member).await;
            if let Some(trial) = &mut aboard.trial {
                trial.reported();
            }
        }
        SourceError::Stuck | SourceError::Garbled => aboard.failed(),
    }
    dispatch.fail::<()>(aboard).map(drop)
}

fn no_version(ask: &Ask, error: &RouteError) -> Refused {
    let code = match error {
        RouteError::NotAllowed(_) => ErrorCode::NotAllowed,
        RouteError::Withdrawn(_) => ErrorCode::VersionWithdrawn,
        RouteError::NothingOffered | RouteError::NoEndpoint => ErrorCode::NoCapacity,
    };
    let refused = ask.refuse(code, error.to_string());
    if code == ErrorCode::NoCapacity {
        return refused.retry_after(NONE_RETRY);
    }
    refused
}

/// Returns the refusal of a request for which there is no room.
pub(super) fn shed(ask: &Ask, retry: Millis) -> Refused {
    let message = "too much is asked for at this moment";
    ask.refuse(ErrorCode::Overloaded, message)
        .retry_after(retry)
}
