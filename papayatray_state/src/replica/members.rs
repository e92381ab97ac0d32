//! Members of a deployment's replicated log, and the size of a quorum.

use std::collections::BTreeMap;
use std::fmt;

use papayatray_core::id::Incarnation;
use papayatray_core::id::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Identity of a replica: a VM together with one data folder.
///
/// A VM that restarts with an empty folder is a new replica. It has lost what it voted and
/// acknowledged, so it must not vote under the old identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId {
    /// VM that the replica runs on.
    pub vm: VmId,
    /// Random number given to the data folder when it was created.
    pub folder: Incarnation,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.folder.0)
    }
}

/// Address and role of a replica in the member list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address at which the deployment's other processes connect to the replica's VM.
    pub address: String,
    /// Whether the replica counts in quorums; if not, it is a learner.
    pub is_voter: bool,
    /// Member that is removed once this learner has received the committed log.
    pub replaces: Option<ReplicaId>,
}

/// Member list, by replica.
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
            is_voter: true,
            replaces: None,
        };
        let members = replicas
            .into_iter()
            .map(|(id, address)| (id, voter(address)));
        Self {
            members: members.collect(),
        }
    }

    /// Tells whether the list has no members, as on a blank replica.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the member with this id.
    pub fn get(&self, id: &ReplicaId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns all members.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &Member)> {
        self.members.iter()
    }

    /// Tells whether the replica is a member that counts in quorums.
    pub fn is_voter(&self, id: &ReplicaId) -> bool {
        self.get(id).is_some_and(|member| member.is_voter)
    }

    /// Returns the replicas that count in quorums.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaId> {
        self.iter()
            .filter(|(_, member)| member.is_voter)
            .map(|(id, _)| id)
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the members with `id` added as a learner, which will replace `replaces` if given.
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
            is_voter: false,
            replaces: replaces.cloned(),
        };
        next.members.insert(id.clone(), learner);
        next
    }

    /// Returns the members with `id` promoted to voter.
    #[must_use]
    pub fn with_voter(&self, id: &ReplicaId) -> Self {
        let mut next = self.clone();
        if let Some(member) = next.members.get_mut(id) {
            member.is_voter = true;
        }
        next
    }

    /// Returns the members without `id`.
    ///
    /// In a learner that was to replace `id`, [`Member::replaces`] is cleared.
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
