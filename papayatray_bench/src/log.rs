//! Replicated log: commands per second on three replicas that write to disk, batched and one at a
//! time.
//!
//! Each command records the bill of one request: its tokens and its cost.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use papayatray_core::clock::Millis;
use papayatray_core::id::Incarnation;
use papayatray_core::id::VmId;
use papayatray_state::node::Node;
use papayatray_state::storage::FolderDisk;
use papayatray_state::storage::open_folder;

use crate::report::Report;
use crate::report::percentile;
use crate::state::bill;

/// Time over which each variant is measured.
const MEASURE_DURATION: Duration = Duration::from_secs(3);
/// Number of commands proposed at once in the batched variant.
const BATCH_SIZE: u64 = 256;

/// Three replicas on one disk, driven one after another by this thread.
struct ReplicaGroup {
    nodes: Vec<Node<FolderDisk>>,
    folder: PathBuf,
    /// Instant from which [`Self::now`] counts. The nodes' clock reads 1,000,000 ms then, which is
    /// also the time passed to each node at its creation.
    started_at: Instant,
    /// Id of the last proposed command; 0 if there is none yet.
    last_id: u64,
}

impl ReplicaGroup {
    fn new(name: &str) -> Result<Self, Box<dyn Error>> {
        let folder = std::env::temp_dir().join(format!("papayatray-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let mut founders = BTreeMap::new();
        for number in 0..3 {
            let vm = VmId::new(format!("vm-{number}"))?;
            founders.insert(vm.clone(), vm.to_string());
        }
        let mut nodes = Vec::new();
        for (number, vm) in (1..).zip(founders.keys()) {
            let path = folder.join(vm.as_str());
            std::fs::create_dir_all(&path)?;
            let opened = open_folder(&path, vm, Incarnation(number))?;
            let now = Millis::new(1_000_000);
            let address = vm.to_string();
            // Different seeds give the replicas different election time-outs.
            let mut node = Node::new(
                opened.id,
                &address,
                opened.store,
                opened.loaded,
                number * 77,
                now,
            )?;
            // All data folders are new, so no VM has a predecessor whose folder was discarded.
            node.set_founders(founders.clone(), None);
            nodes.push(node);
        }
        let mut group = Self {
            nodes,
            folder,
            started_at: Instant::now(),
            last_id: 0,
        };
        while group.leader().is_none() {
            group.run_round();
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(group)
    }

    fn now(&self) -> Millis {
        let passed = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        Millis::new(1_000_000) + Millis::new(passed)
    }

    /// Returns the index of the leader.
    ///
    /// Only a leader with a valid lease that has committed an entry of its own term is current.
    fn leader(&self) -> Option<usize> {
        let now = self.now();
        self.nodes
            .iter()
            .position(|node| node.replica().is_current(now))
    }

    /// Advances each node once and delivers the messages that result.
    ///
    /// In one turn, a node proposes its queued commands, syncs its log to disk and applies
    /// committed commands. Returns the number of proposed commands that were applied.
    fn run_round(&mut self) -> usize {
        let now = self.now();
        let mut messages = Vec::new();
        let mut replies = 0;
        for node in &mut self.nodes {
            let turn = node.turn(now);
            messages.extend(turn.messages);
            replies += turn
                .replies
                .iter()
                .filter(|(_, result)| result.is_ok())
                .count();
        }
        for envelope in messages {
            let to = self
                .nodes
                .iter_mut()
                .find(|node| node.replica().id().vm == envelope.to.vm);
            if let Some(node) = to {
                node.receive(now, envelope);
            }
        }
        replies
    }

    /// Commits commands, `batch_size` at a time.
    ///
    /// Returns the commands per second and the duration of each batch in milliseconds.
    fn commit(&mut self, batch_size: u64) -> (f64, Vec<f64>) {
        let started_at = Instant::now();
        let mut times = Vec::new();
        let mut count = 0;
        while started_at.elapsed() < MEASURE_DURATION {
            let Some(leader) = self.leader() else {
                self.run_round();
                continue;
            };
            let batch_started_at = Instant::now();
            for _ in 0..batch_size {
                self.last_id += 1;
                let command = bill(self.last_id);
                // The id also serves as the command's time stamp, which thus never goes back.
                self.nodes[leader].propose(self.last_id, command, Millis::new(self.last_id));
            }
            let mut replies = 0;
            while replies < batch_size {
                replies += self.run_round() as u64;
            }
            count += batch_size;
            times.push(batch_started_at.elapsed().as_secs_f64() * 1_000.0);
        }
        (count as f64 / started_at.elapsed().as_secs_f64(), times)
    }
}

impl Drop for ReplicaGroup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub(crate) fn run(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let (plain, mut plain_times) = plain_syncs()?;
    report.add("log", "plain_sync_per_second", plain);
    report.add(
        "log",
        "plain_sync_p95_ms",
        percentile(&mut plain_times, 0.95),
    );
    let mut group = ReplicaGroup::new("log")?;
    let (single, mut times) = group.commit(1);
    report.add("log", "single_per_second", single);
    report.add("log", "single_p50_ms", percentile(&mut times, 0.5));
    report.add("log", "single_p95_ms", percentile(&mut times, 0.95));
    let (batched, mut times) = group.commit(BATCH_SIZE);
    report.add("log", "batched_per_second", batched);
    report.add("log", "batched_p95_ms", percentile(&mut times, 0.95));
    report.add("log", "batched_over_single", batched / single);
    report.add("log", "single_over_plain", single / plain);
    Ok(())
}

/// Appends and syncs one record at a time without replication, to measure the sync rate of the
/// disk: the upper limit for commands that are committed one at a time.
///
/// Returns the syncs per second and the duration of each in milliseconds.
fn plain_syncs() -> Result<(f64, Vec<f64>), Box<dyn Error>> {
    let path = std::env::temp_dir().join(format!("papayatray-plain-{}", std::process::id()));
    let mut file = File::create(&path)?;
    let started_at = Instant::now();
    let mut times = Vec::new();
    while started_at.elapsed() < MEASURE_DURATION {
        let sync_started_at = Instant::now();
        file.write_all(&[7; 100])?;
        file.sync_data()?;
        times.push(sync_started_at.elapsed().as_secs_f64() * 1_000.0);
    }
    let rate = times.len() as f64 / started_at.elapsed().as_secs_f64();
    std::fs::remove_file(path)?;
    Ok((rate, times))
}
