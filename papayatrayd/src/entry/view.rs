//! View: an entry's snapshot of the state received from the leader, replaced as a whole by each
//! renewal.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::catalogue::Catalogue;
use papayatray_core::choice::RatingTable;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::KeyHash;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::Revision;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_wire::peer::EntryVersions;
use papayatray_wire::peer::RenewReply;

/// Snapshot of the replicated state that an entry serves from.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Versions of the parts below, reported to the leader with each renewal.
    pub part_versions: EntryVersions,
    /// Configuration of organisations, services and versions.
    pub catalogue: Catalogue,
    /// Organisations by the digests of their API keys.
    pub keys: BTreeMap<KeyHash, OrganisationId>,
    /// Fingerprints of suspects, which may crash endpoints.
    pub suspects: BTreeSet<Fingerprint>,
    /// Entries with a lease.
    pub entries: BTreeMap<VmId, EntryInfo>,
    /// Ratings received by all entries, merged by the leader.
    pub evidence: RatingTable,
    /// Revision that is in force at all entries, if known.
    pub in_force: Option<Revision>,
}

impl View {
    /// Returns the view with the leader's reply applied.
    ///
    /// Returns `None` if the reply does not fit: its revision is older, or changes are missing.
    pub fn renewed(&self, reply: &RenewReply) -> Option<Self> {
        let mut next = self.clone();
        if let Some(catalogue) = &reply.catalogue {
            next.catalogue = catalogue.clone();
        }
        for change in &reply.changes {
            if change.revision <= next.catalogue.revision {
                continue;
            }
            next.catalogue = next.catalogue.with_edits(&change.edits).ok()?;
        }
        let is_complete = next.catalogue.revision == reply.versions.revision;
        if !is_complete || next.catalogue.revision < self.catalogue.revision {
            return None;
        }
        if next.catalogue.revision != self.catalogue.revision {
            next.keys = index_keys(&next.catalogue);
        }
        next.part_versions = reply.versions;
        next.in_force = reply.in_force;
        if let Some(suspects) = &reply.suspects {
            next.suspects.clone_from(suspects);
        }
        if let Some(entries) = &reply.entries {
            entries.apply(&mut next.entries);
        }
        if let Some(evidence) = &reply.evidence {
            next.evidence = evidence.clone();
        }
        Some(next)
    }
}

fn index_keys(catalogue: &Catalogue) -> BTreeMap<KeyHash, OrganisationId> {
    let organisations = catalogue.organisations.iter();
    let pairs = organisations.flat_map(|(id, o)| o.keys.values().map(move |key| (key, id)));
    pairs.map(|(key, id)| (key.clone(), id.clone())).collect()
}
