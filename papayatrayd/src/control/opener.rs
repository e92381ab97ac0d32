//! Opening of the data folder: at the start, after the disk failed, and as a new replica's.

use std::collections::BTreeMap;
use std::path::PathBuf;

use papayatray_core::clock::Millis;
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
use crate::observe::Level;
use crate::observe::event;

/// What a replica is opened from.
#[derive(Debug)]
pub(super) struct Opener {
    /// VM of the replica.
    pub(super) vm: VmId,
    /// Address for the system's own processes.
    pub(super) address: String,
    /// Folder that the replica's state lives under.
    pub(super) folder: PathBuf,
    /// VMs that found the deployment, with their addresses.
    pub(super) founders: BTreeMap<VmId, String>,
    /// How the replicas look after their own number.
    pub(super) membership: MembershipPolicy,
}

impl Opener {
    /// Opens the folder as it stands.
    pub(super) fn open(&self, now: Millis) -> Result<Node<FolderDisk>, StoreError> {
        let folder = open_folder(&self.folder, &self.vm, fresh())?;
        self.node(folder, now)
    }

    /// Makes the folder a new replica's, which gets all state from the others.
    pub(super) fn renew(
        &self,
        predecessor: &ReplicaId,
        now: Millis,
    ) -> Result<Node<FolderDisk>, StoreError> {
        let folder = reset_folder(&self.folder, predecessor.clone(), fresh())?;
        self.node(folder, now)
    }

    /// Tells whether a replica that may not take part any more becomes a new one by itself.
    pub(super) const fn renews(&self) -> bool {
        self.membership.voters.is_some()
    }

    fn node(&self, folder: Folder, now: Millis) -> Result<Node<FolderDisk>, StoreError> {
        if let Some((predecessor, fault)) = &folder.predecessor {
            let pairs: [(&str, &dyn std::fmt::Display); 2] =
                [("replica", predecessor), ("fault", fault)];
            event(Level::Error, "folder_put_aside", &pairs);
        }
        if folder.loaded.torn > 0 {
            let bytes = folder.loaded.torn;
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
        if self.membership.joins {
            node.disable_bootstrap();
        }
        if let Some(voters) = self.membership.voters {
            node.replica_mut().set_self_repair(voters);
        }
        Ok(node)
    }
}

fn fresh() -> Incarnation {
    Incarnation(rand::random::<u64>() | 1)
}
