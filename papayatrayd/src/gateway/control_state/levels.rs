//! Format levels of the deployment, as a control replica knows them.

use std::collections::BTreeMap;

use papayatray_core::format::FormatLevel;
use papayatray_state::replica::ReplicaId;
use papayatray_wire::peer::LeaderReply;
use papayatray_wire::peer::ProcessLevel;
use papayatray_wire::peer::ReadReply;

use super::ControlState;

/// # Format levels
impl ControlState {
    /// Returns the level in force, as far as this replica has applied the log.
    pub(in crate::gateway) fn level(&self) -> FormatLevel {
        self.inner().applied.level
    }

    /// Returns the levels of the entries that sync with this replica.
    pub(in crate::gateway) fn entry_levels(&self) -> Vec<FormatLevel> {
        self.inner().entry_levels.values().copied().collect()
    }

    /// Sets the levels that replicas have stated to this one.
    pub(in crate::gateway) fn set_replica_levels(
        &self,
        levels: BTreeMap<ReplicaId, Option<FormatLevel>>,
    ) {
        self.inner().replica_levels = levels;
    }

    /// Returns the lowest level that processes read; one that has not answered counts as level 0.
    pub(in crate::gateway) fn lowest_level(&self) -> FormatLevel {
        let inner = self.inner();
        let replicas = inner.replica_levels.values();
        let replicas = replicas.map(|reads| reads.unwrap_or_default());
        let entries = inner.entry_levels.values().copied();
        replicas.chain(entries).min().unwrap_or_default()
    }

    /// Adds the levels of the processes to a leader's reply.
    pub(in crate::gateway) fn with_processes(
        &self,
        mut reply: LeaderReply<ReadReply>,
    ) -> LeaderReply<ReadReply> {
        if let LeaderReply::Reply(read) = &mut reply {
            let inner = self.inner();
            let replicas = inner.replica_levels.iter();
            let replicas = replicas.map(|(id, reads)| (id.to_string(), *reads));
            let entries = inner.entry_levels.iter();
            let entries = entries.map(|(vm, reads)| (vm.to_string(), Some(*reads)));
            let processes = replicas.chain(entries);
            read.levels.processes = processes
                .map(|(name, reads)| ProcessLevel { name, reads })
                .collect();
        }
        reply
    }
}
