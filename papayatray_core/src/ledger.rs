//! Ledger: bills every request once and sums the bills by account.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::OrganisationId;
use crate::id::RequestKey;
use crate::id::VmId;

/// Time for which individual bills are kept; the totals are kept forever.
pub const BILL_RETENTION: Millis = Millis::from_secs(3_600);
const DAY_MS: u64 = 86_400_000;

/// Bill of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Request that is billed.
    pub key: RequestKey,
    /// Version or service that served the request.
    pub subject: String,
    /// Number of prompt tokens.
    pub tokens_in: u64,
    /// Number of completion tokens.
    pub tokens_out: u64,
    /// Price in millionths of the currency.
    pub cost: u64,
    /// Entry that relayed the response.
    pub entry: VmId,
}

/// Sum of bills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Number of billed requests.
    pub requests: u64,
    /// Number of prompt tokens.
    pub tokens_in: u64,
    /// Number of completion tokens.
    pub tokens_out: u64,
    /// Price in millionths of the currency.
    pub cost: u64,
}

impl Total {
    fn add(&mut self, bill: &Bill) {
        self.requests += 1;
        self.tokens_in += bill.tokens_in;
        self.tokens_out += bill.tokens_out;
        self.cost += bill.cost;
    }
}

/// Account by which bills are summed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Account {
    /// Organisation that pays.
    pub organisation: OrganisationId,
    /// Days since the Unix epoch.
    pub day: u64,
    /// Version or service that served the requests.
    pub subject: String,
}

/// Recent bills by request, and totals of all bills by account and entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Bills within [`BILL_RETENTION`].
    lines: BTreeMap<RequestKey, Bill>,
    /// Keys of `lines` with the times at which the bills were recorded, oldest first.
    order: VecDeque<(Millis, RequestKey)>,
    /// Sums of all bills ever recorded.
    totals: BTreeMap<Account, Total>,
    /// Number of bills by entry.
    by_entry: BTreeMap<VmId, u64>,
}

impl Ledger {
    /// Records `bill`; returns false, without effect, if the request has been billed already.
    pub fn record(&mut self, bill: &Bill, now: Millis) -> bool {
        self.expire(now);
        if self.lines.contains_key(&bill.key) {
            return false;
        }
        let account = Account {
            organisation: bill.key.organisation.clone(),
            day: now.as_u64() / DAY_MS,
            subject: bill.subject.clone(),
        };
        self.totals.entry(account).or_default().add(bill);
        *self.by_entry.entry(bill.entry.clone()).or_default() += 1;
        self.lines.insert(bill.key.clone(), bill.clone());
        self.order.push_back((now, bill.key.clone()));
        true
    }

    /// Returns the totals by account.
    pub const fn totals(&self) -> &BTreeMap<Account, Total> {
        &self.totals
    }

    /// Returns the bills of the last [`BILL_RETENTION`].
    pub fn lines(&self) -> impl Iterator<Item = &Bill> {
        self.lines.values()
    }

    /// Returns the number of bills by entry, for comparison with the count that each entry reports.
    pub const fn by_entry(&self) -> &BTreeMap<VmId, u64> {
        &self.by_entry
    }

    fn expire(&mut self, now: Millis) {
        while let Some((recorded_at, key)) = self.order.front() {
            if now.since(*recorded_at) <= BILL_RETENTION {
                return;
            }
            self.lines.remove(key);
            self.order.pop_front();
        }
    }
}
