//! Billing: bills in batches, durable before the last byte of each answer.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use papayatray_core::clock::Millis;
use papayatray_core::ledger::Bill;
use papayatray_state::machine::Command;
use smol::channel;

use super::Leader;
use super::LeaderError;

/// Most bills in one command.
const BATCH: usize = 512;
/// Bills that may wait.
const QUEUE: usize = 4_096;
/// Batches that may be under way at once.
const LANES: usize = 2;
/// Time within which a bill must be durable.
pub const BILL_LIMIT: Millis = Millis::from_secs(8);

/// Bill that waits.
#[derive(Debug)]
struct Waiting {
    bill: Bill,
    done: channel::Sender<Result<(), LeaderError>>,
}

/// Way of bills to the ledger.
#[derive(Debug)]
pub struct Billing {
    queue: channel::Sender<Waiting>,
    waiting: channel::Receiver<Waiting>,
    billed: AtomicU64,
}

impl Default for Billing {
    fn default() -> Self {
        let (queue, waiting) = channel::bounded(QUEUE);
        Self {
            queue,
            waiting,
            billed: AtomicU64::new(0),
        }
    }
}

impl Billing {
    /// Makes a bill durable.
    ///
    /// # Errors
    ///
    /// Returns why the bill is not known to be durable; it may be all the same.
    pub async fn bill(&self, bill: Bill) -> Result<(), LeaderError> {
        let (done, outcome) = channel::bounded(1);
        let sent = self.queue.send(Waiting { bill, done }).await;
        sent.map_err(|_closed| LeaderError::None)?;
        let outcome = outcome.recv().await.unwrap_or(Err(LeaderError::Unknown));
        if outcome.is_ok() {
            self.count();
        }
        outcome
    }

    /// Counts a bill that went its own way.
    pub fn count(&self) {
        self.billed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many requests this entry has billed.
    pub fn billed(&self) -> u64 {
        self.billed.load(Ordering::Relaxed)
    }

    /// Returns the tasks that carry bills to the leader.
    pub fn lanes(
        self: &Arc<Self>,
        leader: &Arc<Leader>,
    ) -> impl Iterator<Item = impl Future<Output = ()> + Send + use<>> + use<> {
        let waiting = self.waiting.clone();
        let leader = Arc::clone(leader);
        (0..LANES).map(move |_| carry(waiting.clone(), Arc::clone(&leader)))
    }
}

async fn carry(waiting: channel::Receiver<Waiting>, leader: Arc<Leader>) {
    while let Ok(first) = waiting.recv().await {
        let mut batch = vec![first];
        while batch.len() < BATCH
            && let Ok(next) = waiting.try_recv()
        {
            batch.push(next);
        }
        let bills = batch.iter().map(|waiting| waiting.bill.clone()).collect();
        let outcome = leader
            .propose(Command::Bill(bills), BILL_LIMIT)
            .await
            .map(drop);
        for waiting in batch {
            let _ = waiting.done.try_send(outcome.clone());
        }
    }
}
