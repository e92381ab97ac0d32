//! Replicas that make up the log, and how many of them decide.

use std::collections::BTreeMap;
use std::fmt;

use papayatray_core::id::Incarnation;
use papayatray_core::id::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Name of a replica: a VM together with one data folder.
///
/// A VM that comes back with an empty folder is another replica, and so never votes as the first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId {
    /// VM that the replica runs on.
    pub vm: VmId,
    /// Number given to the data folder when it was made.
    pub folder: Incarnation,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.folder.0)
    }
}

/// What is known of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for the system's own processes.
    pub address: String,
    /// Whether the replica counts in elections and commits.
    pub voter: bool,
    /// Replica that this one takes the place of, once it has caught up.
    pub replaces: Option<ReplicaId>,
}

/// Replicas by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    members: BTreeMap<ReplicaId, Member>,
}

impl Members {
    /// Creates the members of a new deployment, all of them voters.
    pub fn founding<I>(replicas: I) -> Self
    where
        I: IntoIterator<Item = (ReplicaId, String)>,
    {
        let voter = |address| Member {
            address,
            voter: true,
            replaces: None,
        };
        let members = replicas
            .into_iter()
            .map(|(id, address)| (id, voter(address)));
        Self {
            members: members.collect(),
        }
    }

    /// Tells whether nobody is a member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the member of this name.
    pub fn get(&self, id: &ReplicaId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns all members.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &Member)> {
        self.members.iter()
    }

    /// Tells whether the replica counts in elections and commits.
    pub fn is_voter(&self, id: &ReplicaId) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// Returns the replicas that count in elections and commits.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaId> {
        self.iter()
            .filter(|(_, member)| member.voter)
            .map(|(id, _)| id)
    }

    /// Returns how many voters decide.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the members with a replica that does not count yet.
    #[must_use]
    pub fn with_learner(
        &self,
        id: &ReplicaId,
        address: &str,
        replaces: Option<&ReplicaId>,
    ) -> Self {
        let mut next = self.clone();
        let learner = Member {
            address: address.to_owned(),
            voter: false,
            replaces: replaces.cloned(),
        };
        next.members.insert(id.clone(), learner);
        next
    }

    /// Returns the members with `id` as a voter.
    #[must_use]
    pub fn with_voter(&self, id: &ReplicaId) -> Self {
        let mut next = self.clone();
        if let Some(member) = next.members.get_mut(id) {
            member.voter = true;
        }
        next
    }

    /// Returns the members without `id`.
    #[must_use]
    pub fn without(&self, id: &ReplicaId) -> Self {
        let mut next = self.clone();
        next.members.remove(id);
        for member in next.members.values_mut() {
            if member.replaces.as_ref() == Some(id) {
                member.replaces = None;
            }
        }
        next
    }
}
