//! Attribution of endpoints' crashes to what their requests have in common.
//!
//! Load that it answers: one prompt part crashes every endpoint that begins to answer a request with
//! it, in requests that share nothing else, among many sound requests that are lost in the same
//! crashes and share the other parts. The cause with the most crashes is chosen first; its crashes
//! then count against nothing else, so that a request that was merely in flight, or a part of its
//! prompt, is not quarantined.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::crashes::Crash;
use super::crashes::CrashCause;
use super::crashes::CrashId;
use crate::clock::Millis;

/// Crashes in succession at which a request is quarantined.
const REQUEST_CRASHES: usize = 3;
/// Crashes at the start of an answer at which a prompt part is quarantined; one more than the attempts
/// of one request usually reach, since sound requests may share the part.
const PART_CRASHES: usize = 4;
/// Crashes in succession among these.
const PART_SUCCESSION: usize = 3;
/// Crashes in succession at which a prompt part is quarantined although no answer had started, as when
/// the bytes of the start are lost with the connection.
const UNSTARTED_PART_CRASHES: usize = 8;
/// Different requests among the crashes of a prompt part; of fewer, the request is the cause.
const MIN_REQUESTS: usize = 2;
/// Crashes in succession at which a cause is a suspect.
const SUSPECT_CRASHES: usize = 2;
/// Share of the most crashes that another part, which is likelier for other reasons, needs to be
/// chosen instead.
const MIN_CRASH_SHARE: f64 = 0.75;
/// Error of the times of different entries' reports, relative to one another.
const CLOCK_ERROR: Millis = Millis::new(50);

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
}

/// Result of [`attribute`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Attribution {
    /// Causes of crashes.
    pub(super) chosen: BTreeSet<CrashCause>,
    /// Possible causes of the other crashes, those with the most crashes first, and the time of the
    /// first crash of each that counts.
    pub(super) suspected: Vec<(CrashCause, Millis)>,
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
    let mut explained: BTreeSet<CrashId> = BTreeSet::new();
    let mut explained_by_parts: BTreeSet<CrashId> = BTreeSet::new();
    let mut chosen = BTreeSet::new();
    loop {
        open.retain(|candidate| !chosen.contains(&candidate.cause));
        // No weaker cause is chosen while entries have not yet answered about a stronger one.
        let Some(next) = strongest(&open, &explained).filter(|next| next.may_be_chosen) else {
            break;
        };
        explained.extend(next.crashes.keys());
        if !is_request(&next) {
            explained_by_parts.extend(next.crashes.keys());
        }
        chosen.insert(next.cause);
    }
    let mut ranked: Vec<(usize, CrashCause, Millis)> = open
        .iter()
        .filter_map(|candidate| {
            // A request that was only in flight must not hide the part that made the endpoints crash.
            let explained = if is_request(candidate) {
                &explained
            } else {
                &explained_by_parts
            };
            let crashes = unexplained(candidate, explained);
            let first = crashes.first()?.crashed_at;
            let succession = succession(&crashes);
            (succession >= SUSPECT_CRASHES).then_some((succession, candidate.cause, first))
        })
        .collect();
    ranked.sort_by_key(|(succession, ..)| std::cmp::Reverse(*succession));
    Attribution {
        chosen,
        suspected: ranked
            .into_iter()
            .map(|(_, cause, first)| (cause, first))
            .collect(),
    }
}

/// Returns the cause with the most unexplained crashes, if they are enough.
///
/// Of a request and a prompt part with as many crashes, the request is returned. Of parts with almost
/// as many, it is one with which no request was ever answered, and of these the one at the latest
/// position. While a part has far more crashes than any cause with enough of them, it may turn out to
/// be the cause, so none is returned.
fn strongest<'a>(open: &[Candidate<'a>], explained: &BTreeSet<CrashId>) -> Option<Candidate<'a>> {
    let mut max_count = 0;
    let mut counted: Vec<(usize, &Candidate<'a>)> = Vec::new();
    for candidate in open {
        let crashes = unexplained(candidate, explained);
        max_count = max_count.max(crashes.len());
        if is_enough(candidate, &crashes) {
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

/// Returns the number of crashes in succession: each of a request that was sent after the crash
/// before.
///
/// Endpoints that crash together, with many requests in flight, so count once.
fn succession(crashes: &[Crash]) -> usize {
    let mut count = 0;
    let mut last: Option<Millis> = None;
    for crash in crashes {
        if last.is_none_or(|last| crash.sent_at + CLOCK_ERROR >= last) {
            count += 1;
            last = Some(crash.crashed_at);
        }
    }
    count
}

fn is_enough(candidate: &Candidate<'_>, crashes: &[Crash]) -> bool {
    let Some(first) = crashes.first() else {
        return false;
    };
    if candidate.is_relapse {
        return true;
    }
    if is_request(candidate) {
        return succession(crashes) >= REQUEST_CRASHES;
    }
    // Where no request at all is answered, the endpoints crash for a reason of their own.
    let is_any_answered = candidate.answered_at >= Some(first.crashed_at);
    let requests: BTreeSet<_> = crashes.iter().map(|crash| crash.request).collect();
    let started = crashes.iter().filter(|crash| crash.has_started);
    let started: Vec<Crash> = started.copied().collect();
    is_any_answered
        && requests.len() >= MIN_REQUESTS
        && ((started.len() >= PART_CRASHES && succession(&started) >= PART_SUCCESSION)
            || succession(crashes) >= UNSTARTED_PART_CRASHES)
}
