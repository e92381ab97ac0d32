//! Plain services, whose calls are passed through.

use std::sync::Arc;

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use papayatray_core::catalogue::Service;
use papayatray_core::clock::Millis;
use papayatray_core::id::ServiceId;
use papayatray_core::ledger::Bill;
use papayatray_wire::http::ErrorCode;
use papayatray_wire::http::header;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;

use super::ask::Ask;
use super::ask::RUNNING_RETRY;
use super::ask::no_lease;
use super::ask::organisation;
use super::begin::shed;
use super::claim::Claim;
use super::claim::Claimed;
use super::claim::kept;
use super::claim::replay;
use super::claim::unknown;
use super::dispatch::Dispatch;
use super::dispatch::Dispatched;
use crate::engine::EndpointRequest;
use crate::entry::Entry;
use crate::entry::Target;
use crate::http::Refused;
use crate::http::header_of;
use crate::http::read_body;

/// Largest answer of a service in bytes.
const ANSWER_BYTES: usize = 8 << 20;
/// Headers of a request that are passed on.
const PASSED: [&str; 3] = ["content-type", "accept", "if-match"];
/// Media type of an answer that names none.
const OCTETS: &str = "application/octet-stream";

/// Call of a plain service.
#[derive(Debug)]
struct ServiceCall {
    ask: Ask,
    id: ServiceId,
    about: Service,
    exchange: EndpointRequest,
}

/// Answer of a plain service.
#[derive(Debug)]
struct Answer {
    status: u16,
    media: String,
    body: Vec<u8>,
}

/// Answers a call of a plain service.
pub(super) async fn answer(
    entry: &Arc<Entry>,
    mut request: Request,
    rest: &str,
) -> Result<Response, Refused> {
    // Nobody without a key learns which services there are.
    organisation(entry, &request)?;
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let id = ServiceId::new(name);
    let id = id.map_err(|error| Refused::new(ErrorCode::BadRequest, error.to_string()))?;
    let Some(about) = entry.view().catalogue.services.get(&id).cloned() else {
        return Err(Refused::new(
            ErrorCode::NotFound,
            format!("no service {id} is declared"),
        ));
    };
    let body = read_body(&mut request, entry.settings.body.0).await?;
    let once = !about.is_repeatable(request.method().as_ref());
    let ask = Ask::new(entry, &request, &body, once)?;
    entry.budget().earn();
    let exchange = exchange(&ask, &request, path, body);
    ServiceCall {
        ask,
        id,
        about,
        exchange,
    }
    .run()
    .await
}

fn exchange(ask: &Ask, request: &Request, path: &str, body: Vec<u8>) -> EndpointRequest {
    let passed = PASSED.iter().filter_map(|name| {
        let value = header_of(request, name)?;
        Some(((*name).to_owned(), value.to_owned()))
    });
    let mut headers: Vec<(String, String)> = passed.collect();
    headers.push((header::REQUEST_ID.to_owned(), ask.key.request.to_string()));
    let query = request
        .url()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    EndpointRequest {
        method: request.method(),
        path: format!("/{path}{query}"),
        headers,
        body,
        attempt: 0,
        limit: ask.left(),
        fresh: false,
    }
}

impl ServiceCall {
    async fn run(self) -> Result<Response, Refused> {
        let mut claim = None;
        if self.ask.once {
            match Claim::take(&self.ask).await? {
                Claimed::Held(held) => claim = Some(held),
                Claimed::Answered(answer) => return replay(&self.ask, answer),
            }
        }
        let entry = &self.ask.entry;
        let Some(slot) = entry.registry.pool(&Target::Service(self.id.clone())) else {
            let message = format!("no endpoint runs service {}", self.id);
            return Err(self
                .ask
                .refuse(ErrorCode::NoCapacity, message)
                .retry_after(RUNNING_RETRY));
        };
        let entered = slot.acquire(self.ask.wish()).await;
        let _permit = entered.map_err(|retry| shed(&self.ask, retry))?;
        let may_send = || self.check();
        let mut dispatch = Dispatch {
            ask: &self.ask,
            slot: &slot,
            exchange: self.exchange.clone(),
            prefix: None,
            may_send: &may_send,
            claim: claim.as_mut(),
            avoid: Vec::new(),
            perhaps_run: false,
            is_exposed: false,
        };
        let answer = loop {
            let mut dispatched = dispatch.run().await?;
            match self.read(&mut dispatched).await {
                Ok(answer) => {
                    dispatched.aboard.answered();
                    dispatched.aboard.clear_suspect();
                    break answer;
                }
                Err(refused) if refused.code() == ErrorCode::TooLarge => return Err(refused),
                Err(_broken_off) => {
                    dispatch.look_for_crash(&mut dispatched.aboard).await;
                    dispatch.fail::<()>(&dispatched.aboard)?;
                }
            }
        };
        self.settle(&answer, claim.as_mut()).await?;
        Ok(self.respond(answer))
    }

    fn check(&self) -> Result<(), Refused> {
        if self.ask.entry.has_lease() {
            return Ok(());
        }
        Err(no_lease(&self.ask.entry).about(self.ask.key.request.as_str()))
    }

    /// Reads the whole answer; one that breaks off is none.
    async fn read(&self, dispatched: &mut Dispatched) -> Result<Answer, Refused> {
        let response = &mut dispatched.sent.response;
        let stated = response.len();
        let media = response
            .header("content-type")
            .map(|v| v.as_str().to_owned());
        let status = u16::from(response.status());
        let mut body = Vec::new();
        let most = ANSWER_BYTES as u64 + 1;
        let reading = async {
            let read = response.take_body().take(most).read_to_end(&mut body).await;
            read.is_ok()
        };
        let left = self.ask.left().max(Millis::new(1)).to_duration();
        let timeout = async {
            Timer::after(left).await;
            false
        };
        let is_read = reading.or(timeout).await;
        if body.len() > ANSWER_BYTES {
            let message = format!("the answer has more than {ANSWER_BYTES} bytes");
            return Err(self.ask.refuse(ErrorCode::TooLarge, message).perhaps_run());
        }
        if !is_read || stated.is_some_and(|stated| stated != body.len()) {
            return Err(unknown(&self.ask));
        }
        Ok(Answer {
            status,
            media: media.unwrap_or_else(|| OCTETS.to_owned()),
            body,
        })
    }

    async fn settle(&self, answer: &Answer, claim: Option<&mut Claim>) -> Result<(), Refused> {
        let _span = self.ask.span.child("bill");
        let bill = Bill {
            key: self.ask.key.clone(),
            subject: self.id.to_string(),
            tokens_in: 0,
            tokens_out: 0,
            cost: u64::from(self.about.price),
            entry: self.ask.entry.vm.clone(),
        };
        let settled = match claim {
            Some(claim) => {
                let kept = kept(answer.status, &answer.media, &answer.body);
                claim.finish(kept, bill).await
            }
            None => self.ask.entry.billing.bill(bill).await,
        };
        settled.map_err(|error| self.ask.bill_pending(&error))
    }

    fn respond(&self, answer: Answer) -> Response {
        let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
        let mut response = Response::new(status);
        response.set_body(answer.body);
        response.insert_header("content-type", answer.media.as_str());
        response.insert_header(header::REQUEST_ID, self.ask.key.request.as_str());
        response
    }
}
