//! Answers that an entry's requests got from endpoints that did not crash, as evidence that what the
//! requests contain is harmless.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::crashes::CrashCause;
use crate::clock::Millis;
use crate::id::ServiceId;

/// Requests and prompt parts of which the last answer is kept; covers the requests of an entry for
/// some seconds, and longer those that share parts.
const MAX_CAUSES: usize = 2_048;

/// Last answers that one entry reports to a control replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Suspects of the replica with which a request was answered after the first crash that counts,
    /// and the time since that answer began.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub causes: Vec<(CrashCause, Millis)>,
    /// Suspects of the replica with which a request was answered, if only before that crash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<CrashCause>,
    /// Time since the last answer of each service began.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<(ServiceId, Millis)>,
}

/// Last answers at one entry.
#[derive(Clone, Debug, Default)]
pub struct AnswerLog {
    causes: BTreeMap<CrashCause, Millis>,
    services: BTreeMap<ServiceId, Millis>,
}

impl AnswerLog {
    /// Records that an endpoint began at `began_at` to answer a request with these causes, and did
    /// not crash.
    pub fn record<I>(&mut self, service: &ServiceId, causes: I, began_at: Millis)
    where
        I: IntoIterator<Item = CrashCause>,
    {
        let last = self.services.entry(service.clone()).or_default();
        *last = began_at.max(*last);
        for cause in causes {
            let last = self.causes.entry(cause).or_default();
            *last = began_at.max(*last);
        }
        if self.causes.len() > MAX_CAUSES {
            self.drop_older_half();
        }
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<Millis> = self.causes.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.causes.retain(|_, answered_at| *answered_at > median);
    }

    /// Returns the report to a replica with these suspects, each with the time of the first crash that
    /// counts against it.
    ///
    /// Without suspects it is empty.
    pub fn report(&self, suspected: &[(CrashCause, Millis)], now: Millis) -> AnswerReport {
        if suspected.is_empty() {
            return AnswerReport::default();
        }
        let mut report = AnswerReport::default();
        for (cause, crashed_at) in suspected {
            match self.causes.get(cause) {
                Some(answered_at) if answered_at > crashed_at => {
                    report.causes.push((*cause, now.since(*answered_at)));
                }
                Some(_) => report.earlier.push(*cause),
                None => {}
            }
        }
        let services = self.services.iter();
        report.services = services
            .map(|(service, answered_at)| (service.clone(), now.since(*answered_at)))
            .collect();
        report
    }
}
