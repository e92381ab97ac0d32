//! Attribution of endpoints' crashes to what their requests have in common.
//!
//! Load that it answers: one prompt part crashes every endpoint that begins to answer a request with
//! it, in requests that share nothing else, among many sound requests that are lost in the same
//! crashes and share the other parts. The cause with the most crashes is chosen first; its crashes
//! then count against nothing else, so that a request that was merely in flight, or a part of its
//! prompt, is not quarantined.
//!
//! Crashes of several endpoints at once may have a cause of their own, such as a data centre that has
//! lost power, so they count once. Only against a request that was never answered, and of which copies
//! were in flight at nearly all of these endpoints, they count one by one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::crashes::Crash;
use super::crashes::CrashCause;
use super::crashes::CrashId;
use super::crashes::WeighedRequest;
use crate::clock::Millis;

/// Counted crashes at which a request is quarantined.
const REQUEST_CRASHES: usize = 3;
/// Crashes at the start of an answer at which a prompt part is quarantined; one more than the attempts
/// of one request usually reach, since sound requests may share the part.
const PART_CRASHES: usize = 4;
/// Counted crashes among these.
const PART_COUNTED: usize = 3;
/// Counted crashes at which a prompt part is quarantined although no answer had started, as when
/// the bytes of the start are lost with the connection.
const UNSTARTED_PART_CRASHES: usize = 8;
/// Different requests among the crashes of a prompt part; of fewer, the request is the cause.
const MIN_REQUESTS: usize = 2;
/// Counted crashes at which a cause is a suspect.
const SUSPECT_CRASHES: usize = 2;
/// Share of the most crashes that another part, which is likelier for other reasons, needs to be
/// chosen instead.
const MIN_CRASH_SHARE: f64 = 0.75;
/// Error of the times of different entries' reports, relative to one another.
const CLOCK_ERROR: Millis = Millis::new(50);
/// Time between two crashes within which they may have the same cause: entries notice the loss of a
/// data centre one after the other, by their time-outs.
const COMMON_CAUSE_TIME: Millis = Millis::from_secs(1);
/// Unrelated crashes at the same time, as a share of those of the copies of a request, up to which the
/// request accounts for the latter: endpoints also crash one by one.
const MAX_UNRELATED_SHARE: f64 = 0.5;

/// Evidence against one cause.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) cause: CrashCause,
    /// Position in the prompt; a later part is shared by fewer requests.
    pub(super) depth: usize,
    /// Whether a request with the cause was answered before its first crash that counts.
    pub(super) was_answered: bool,
    /// Crashes since a request with the cause was answered.
    pub(super) crashes: &'a BTreeMap<CrashId, Crash>,
    /// Whether the cause was quarantined and released before, so that one crash is enough.
    pub(super) is_relapse: bool,
    /// Whether entries had time to say that a request with the cause was answered.
    pub(super) may_be_chosen: bool,
    /// Time at which an endpoint of the service last began to answer any request.
    pub(super) answered_at: Option<Millis>,
    /// Times of all crashes of the service's endpoints.
    pub(super) service_crashes: &'a BTreeMap<CrashId, Millis>,
}

impl Candidate<'_> {
    /// Returns whether the cause is a request that is likely to have made its endpoints crash.
    fn is_likely_request(&self) -> bool {
        is_request(self) && !self.was_answered && self.crashes.len() >= REQUEST_CRASHES
    }
}

/// Crashes with a known or likely cause, by that cause.
#[derive(Debug, Default)]
struct Explained {
    /// Crashes that chosen causes explain.
    chosen: BTreeSet<CrashId>,
    /// Those among them that chosen prompt parts explain.
    by_parts: BTreeSet<CrashId>,
    /// Crashes that likely requests explain.
    likely: BTreeSet<CrashId>,
}

impl Explained {
    fn new(candidates: &[Candidate<'_>]) -> Self {
        let likely = candidates.iter().filter(|c| c.is_likely_request());
        Self {
            likely: likely.flat_map(|c| c.crashes.keys().copied()).collect(),
            ..Self::default()
        }
    }

    fn add(&mut self, chosen: &Candidate<'_>) {
        self.chosen.extend(chosen.crashes.keys());
        if !is_request(chosen) {
            self.by_parts.extend(chosen.crashes.keys());
        }
    }

    /// Returns the number of the candidate's crashes that chosen requests explain, if the candidate was
    /// never answered.
    fn shared_with_requests(&self, candidate: &Candidate<'_>) -> usize {
        let is_shared = |id: &&CrashId| self.chosen.contains(id) && !self.by_parts.contains(id);
        let shared = candidate.crashes.keys().filter(is_shared);
        shared.filter(|_| !candidate.was_answered).count()
    }

    /// Returns the times of the service's crashes that neither the candidate nor another cause explains.
    fn unrelated(&self, candidate: &Candidate<'_>) -> Vec<Millis> {
        let crashes = candidate.service_crashes.iter();
        let unrelated = crashes.filter(|(id, _)| {
            !candidate.crashes.contains_key(id)
                && !self.chosen.contains(id)
                && !self.likely.contains(id)
        });
        unrelated.map(|(_, crashed_at)| *crashed_at).collect()
    }
}

/// Result of [`attribute`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Attribution {
    /// Causes of crashes.
    pub(super) chosen: BTreeSet<CrashCause>,
    /// Possible causes of the other crashes, those with the most crashes first, and the time of the
    /// first crash of each that counts.
    pub(super) suspected: Vec<(CrashCause, Millis)>,
    /// Requests with repeated crashes that were not chosen.
    pub(super) weighed: Vec<WeighedRequest>,
}

/// Attributes crashes to causes.
pub(super) fn attribute<'a, I>(candidates: I) -> Attribution
where
    I: IntoIterator<Item = Candidate<'a>>,
{
    // Most requests were lost in one crash and in no other.
    let is_repeated = |candidate: &Candidate<'_>| {
        candidate.is_relapse || candidate.crashes.len() >= SUSPECT_CRASHES
    };
    let mut open: Vec<Candidate<'_>> = candidates.into_iter().filter(is_repeated).collect();
    let mut explained = Explained::new(&open);
    let mut chosen = BTreeSet::new();
    loop {
        open.retain(|candidate| !chosen.contains(&candidate.cause));
        // No weaker cause is chosen while entries have not yet answered about a stronger one.
        let Some(next) = strongest(&open, &explained).filter(|next| next.may_be_chosen) else {
            break;
        };
        explained.add(&next);
        chosen.insert(next.cause);
    }
    let mut weighed = Vec::new();
    let mut ranked: Vec<(usize, CrashCause, Millis)> = Vec::new();
    for candidate in &open {
        // A request that was only in flight must not hide the part that made the endpoints crash.
        let hidden = if is_request(candidate) {
            &explained.chosen
        } else {
            &explained.by_parts
        };
        let crashes = unexplained(candidate, hidden);
        let counted = count_crashes(candidate, &crashes, &explained);
        if let CrashCause::Request(request) = candidate.cause {
            weighed.push(WeighedRequest {
                request,
                crashes: candidate.crashes.len(),
                unexplained: crashes.len(),
                counted,
                was_answered: candidate.was_answered,
            });
        }
        if let Some(first) = crashes.first().filter(|_| counted >= SUSPECT_CRASHES) {
            ranked.push((counted, candidate.cause, first.crashed_at));
        }
    }
    ranked.sort_by_key(|(counted, ..)| std::cmp::Reverse(*counted));
    Attribution {
        chosen,
        suspected: ranked
            .into_iter()
            .map(|(_, cause, first)| (cause, first))
            .collect(),
        weighed,
    }
}

/// Returns the cause with the most unexplained crashes, if they are enough.
///
/// Of a request and a prompt part with as many crashes, the request is returned. Of parts with almost
/// as many, it is one with which no request was ever answered, and of these the one at the latest
/// position. While a part has far more crashes than any cause with enough of them, it may turn out to
/// be the cause, so none is returned.
fn strongest<'a>(open: &[Candidate<'a>], explained: &Explained) -> Option<Candidate<'a>> {
    let mut max_count = 0;
    let mut counted: Vec<(usize, &Candidate<'a>)> = Vec::new();
    for candidate in open {
        let crashes = unexplained(candidate, &explained.chosen);
        max_count = max_count.max(crashes.len());
        if is_enough(candidate, &crashes, explained) {
            counted.push((crashes.len(), candidate));
        }
    }
    let min_count = max_count as f64 * MIN_CRASH_SHARE;
    counted.retain(|(count, candidate)| is_request(candidate) || *count as f64 >= min_count);
    let (most, first) = counted
        .iter()
        .max_by_key(|(count, candidate)| (*count, is_request(candidate), candidate.depth))?;
    if is_request(first) {
        return Some(**first);
    }
    let min_count = *most as f64 * MIN_CRASH_SHARE;
    let parts = counted
        .iter()
        .filter(|(count, candidate)| !is_request(candidate) && *count as f64 >= min_count);
    let likeliest =
        parts.max_by_key(|(count, candidate)| (!candidate.was_answered, candidate.depth, *count));
    likeliest.map(|(_, candidate)| **candidate)
}

const fn is_request(candidate: &Candidate<'_>) -> bool {
    matches!(candidate.cause, CrashCause::Request(_))
}

/// Returns the crashes that no chosen cause explains, ordered by time.
fn unexplained(candidate: &Candidate<'_>, explained: &BTreeSet<CrashId>) -> Vec<Crash> {
    let crashes = candidate.crashes.iter();
    let open = crashes.filter(|(id, _)| !explained.contains(id));
    let mut open: Vec<Crash> = open.map(|(_, crash)| *crash).collect();
    open.sort_by_key(|crash| crash.crashed_at);
    open
}

/// Returns the number of crashes that count against a candidate.
///
/// The crashes of requests that were in flight together form a group, which counts once. Copies of a
/// request that was never answered count one by one, unless too many unrelated endpoints crashed at about
/// the same time. Prompt parts are shared by many requests, so that a popular one is in flight at all
/// endpoints that crash, whatever the reason.
fn count_crashes(candidate: &Candidate<'_>, crashes: &[Crash], explained: &Explained) -> usize {
    let groups = in_flight_together(crashes);
    let may_be_copies = is_request(candidate) && !candidate.was_answered;
    if !may_be_copies || groups.len() == crashes.len() {
        return groups.len();
    }
    let unrelated = explained.unrelated(candidate);
    let count = |group: &&[Crash]| {
        let [first, .., last] = group else {
            return 1;
        };
        let (first, last) = (first.crashed_at, last.crashed_at);
        let is_near = |at: &&Millis| {
            first.since(**at) <= COMMON_CAUSE_TIME && at.since(last) <= COMMON_CAUSE_TIME
        };
        let near = unrelated.iter().filter(is_near).count();
        if near as f64 <= group.len() as f64 * MAX_UNRELATED_SHARE {
            group.len()
        } else {
            1
        }
    };
    groups.iter().map(count).sum()
}

/// Splits crashes, which are ordered by time, where the request of one was sent after the first crash of
/// those before.
fn in_flight_together(crashes: &[Crash]) -> Vec<&[Crash]> {
    let mut groups = Vec::new();
    let mut rest = crashes;
    while let Some(first) = rest.first() {
        // A request sent just before endpoints crash together is not taken for one sent after.
        let is_later = |crash: &Crash| {
            crash.sent_at + CLOCK_ERROR >= first.crashed_at
                && crash.crashed_at > first.crashed_at + CLOCK_ERROR
        };
        let length = rest.iter().position(is_later).unwrap_or(rest.len());
        let (group, others) = rest.split_at(length);
        groups.push(group);
        rest = others;
    }
    groups
}

fn is_enough(candidate: &Candidate<'_>, crashes: &[Crash], explained: &Explained) -> bool {
    let Some(first) = crashes.first() else {
        return false;
    };
    if candidate.is_relapse {
        return true;
    }
    if is_request(candidate) {
        let counted = count_crashes(candidate, crashes, explained);
        // Copies of several requests may crash the same endpoints, which then count for each of them that
        // is a suspect without these.
        let shared = explained.shared_with_requests(candidate);
        return counted >= REQUEST_CRASHES
            || (counted >= SUSPECT_CRASHES && counted + shared >= REQUEST_CRASHES);
    }
    // Where no request at all is answered, the endpoints crash for a reason of their own.
    let is_any_answered = candidate.answered_at >= Some(first.crashed_at);
    let requests: BTreeSet<_> = crashes.iter().map(|crash| crash.request).collect();
    let started = crashes.iter().filter(|crash| crash.has_started);
    let started: Vec<Crash> = started.copied().collect();
    is_any_answered
        && requests.len() >= MIN_REQUESTS
        && ((started.len() >= PART_CRASHES
            && count_crashes(candidate, &started, explained) >= PART_COUNTED)
            || count_crashes(candidate, crashes, explained) >= UNSTARTED_PART_CRASHES)
}
