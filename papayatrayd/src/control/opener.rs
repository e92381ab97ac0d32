//! Opening of the data folder: at start, after a disk failure, and to rejoin as a new replica.

use std::collections::BTreeMap;
use std::path::PathBuf;

use papayatray_core::clock::Millis;
use papayatray_core::format::FormatLevel;
use papayatray_core::id::Incarnation;
use papayatray_core::id::VmId;
use papayatray_state::node::Node;
use papayatray_state::replica::ReplicaId;
use papayatray_state::storage::Folder;
use papayatray_state::storage::FolderDisk;
use papayatray_state::storage::StoreError;
use papayatray_state::storage::open_folder;
use papayatray_state::storage::reset_folder;

use super::handle::MembershipPolicy;
use super::levels::BUILD;
use crate::observe::Level;
use crate::observe::event;
use crate::observe::wait_for_log_writes;

/// Parameters by which a replica is opened and, if necessary, reopened.
#[derive(Debug)]
pub(super) struct ReplicaOpener {
    /// VM of the replica.
    pub(super) vm: VmId,
    /// Address at which other processes of the deployment reach this one.
    pub(super) address: String,
    /// Data folder, which holds the replica's log and snapshots.
    pub(super) folder_path: PathBuf,
    /// VMs of the initial replicas, with their peer addresses.
    pub(super) founders: BTreeMap<VmId, String>,
    /// Rules for replacing replicas without an operator.
    pub(super) membership: MembershipPolicy,
}

impl ReplicaOpener {
    /// Opens the folder and resumes the replica stored in it.
    pub(super) fn open(&self, now: Millis) -> Result<Node<FolderDisk>, StoreError> {
        let folder = open_folder(&self.folder_path, &self.vm, new_incarnation());
        let node = folder.and_then(|folder| self.create_node(folder, now));
        node.inspect_err(log_undecodable)
    }

    /// Resets the folder for a new replica id, which fetches all state from the other replicas.
    pub(super) fn reopen_as_new(
        &self,
        predecessor: &ReplicaId,
        now: Millis,
    ) -> Result<Node<FolderDisk>, StoreError> {
        let folder = reset_folder(&self.folder_path, predecessor.clone(), new_incarnation())?;
        self.create_node(folder, now)
    }

    /// Returns whether a removed or outdated replica rejoins under a new id without an operator.
    pub(super) const fn replaces_itself(&self) -> bool {
        self.membership.voters.is_some()
    }

    fn create_node(&self, folder: Folder, now: Millis) -> Result<Node<FolderDisk>, StoreError> {
        if let Some((predecessor, fault)) = &folder.predecessor {
            let pairs: [(&str, &dyn std::fmt::Display); 2] =
                [("replica", predecessor), ("fault", fault)];
            event(Level::Error, "folder_put_aside", &pairs);
        }
        if folder.loaded.truncated_bytes > 0 {
            let bytes = folder.loaded.truncated_bytes;
            event(Level::Warn, "log_tail_cut", &[("bytes", &bytes)]);
        }
        let mut node: Node<FolderDisk> = Node::new(
            folder.id,
            &self.address,
            folder.store,
            folder.loaded,
            rand::random(),
            now,
        )?;
        let predecessor = folder.predecessor.map(|(predecessor, _)| predecessor);
        node.set_founders(self.founders.clone(), predecessor);
        if self.membership.joins_existing {
            node.disable_bootstrap();
        }
        if let Some(voters) = self.membership.voters {
            node.replica_mut().set_self_repair(voters);
        }
        Ok(node)
    }
}

/// Logs that this build cannot decode the folder, if that is the error.
fn log_undecodable(error: &StoreError) {
    if let Some(lacks) = error.lacks() {
        event(
            Level::Error,
            "folder_undecodable",
            &[
                ("build", &BUILD),
                ("reads_level", &FormatLevel::HIGHEST),
                ("lacks_level", &lacks),
                ("error", error),
            ],
        );
        // A process that is starting ends with this error.
        wait_for_log_writes();
    }
}

fn new_incarnation() -> Incarnation {
    // The lowest bit is set, so that the incarnation is not 0.
    Incarnation(rand::random::<u64>() | 1)
}
