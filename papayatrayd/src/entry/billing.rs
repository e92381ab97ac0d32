//! Billing: commits bills in batches; each is durable before the last byte of its response is sent.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use papayatray_core::clock::Millis;
use papayatray_core::ledger::Bill;
use papayatray_state::machine::Command;
use smol::channel;

use super::LeaderClient;
use super::LeaderError;

/// Maximum number of bills in one command.
const MAX_BATCH_BILLS: usize = 512;
/// Maximum number of bills that wait for a worker.
const QUEUE_CAPACITY: usize = 4_096;
/// Number of workers, each of which proposes one batch at a time.
const WORKERS: usize = 2;
/// Time within which a batch of bills must become durable.
pub const BILL_TIMEOUT: Millis = Millis::from_secs(8);

/// Bill that waits to be committed.
#[derive(Debug)]
struct PendingBill {
    bill: Bill,
    outcome_sender: channel::Sender<Result<(), LeaderError>>,
}

/// Queue of bills for the ledger.
#[derive(Debug)]
pub struct Billing {
    sender: channel::Sender<PendingBill>,
    receiver: channel::Receiver<PendingBill>,
    committed_bills: AtomicU64,
}

impl Default for Billing {
    fn default() -> Self {
        let (sender, receiver) = channel::bounded(QUEUE_CAPACITY);
        Self {
            sender,
            receiver,
            committed_bills: AtomicU64::new(0),
        }
    }
}

impl Billing {
    /// Queues a bill and waits until it is committed.
    ///
    /// # Errors
    ///
    /// Returns an error if the bill is not known to be durable; it may still have been committed.
    pub async fn commit_bill(&self, bill: Bill) -> Result<(), LeaderError> {
        let (outcome_sender, outcome) = channel::bounded(1);
        let sent = self
            .sender
            .send(PendingBill {
                bill,
                outcome_sender,
            })
            .await;
        sent.map_err(|_closed| LeaderError::NoLeader)?;
        let outcome = outcome
            .recv()
            .await
            .unwrap_or(Err(LeaderError::OutcomeUnknown));
        if outcome.is_ok() {
            self.count_bill();
        }
        outcome
    }

    /// Counts a bill that was committed with another command instead of through this queue.
    pub fn count_bill(&self) {
        self.committed_bills.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of bills that this entry has committed since it started.
    pub fn committed_bills(&self) -> u64 {
        self.committed_bills.load(Ordering::Relaxed)
    }

    /// Returns the worker tasks, which propose queued bills to the leader.
    pub fn workers(
        self: &Arc<Self>,
        leader: &Arc<LeaderClient>,
    ) -> impl Iterator<Item = impl Future<Output = ()> + Send + use<>> + use<> {
        let receiver = self.receiver.clone();
        let leader = Arc::clone(leader);
        (0..WORKERS).map(move |_| run_worker(receiver.clone(), Arc::clone(&leader)))
    }
}

async fn run_worker(receiver: channel::Receiver<PendingBill>, leader: Arc<LeaderClient>) {
    while let Ok(first) = receiver.recv().await {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_BILLS
            && let Ok(next) = receiver.try_recv()
        {
            batch.push(next);
        }
        let bills = batch.iter().map(|pending| pending.bill.clone()).collect();
        let outcome = leader
            .propose(Command::Bill(bills), BILL_TIMEOUT)
            .await
            .map(drop);
        for pending in batch {
            let _ = pending.outcome_sender.try_send(outcome.clone());
        }
    }
}
