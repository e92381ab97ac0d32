//! View: the state that an entry works by, swapped as a whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::catalogue::Catalogue;
use papayatray_core::choice::Evidence;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::KeyHash;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::Revision;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_wire::peer::RenewReply;
use papayatray_wire::peer::Seen;

/// State that an entry works by.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Versions of the parts.
    pub seen: Seen,
    /// Configuration.
    pub catalogue: Catalogue,
    /// Organisations by the digests of their keys.
    pub keys: BTreeMap<KeyHash, OrganisationId>,
    /// Requests under suspicion.
    pub suspects: BTreeSet<Fingerprint>,
    /// Entries with a lease.
    pub entries: BTreeMap<VmId, EntryInfo>,
    /// Ratings of all entries.
    pub evidence: Evidence,
    /// Revision that is in force everywhere, where that is known.
    pub in_force: Option<Revision>,
}

impl View {
    /// Returns the view after the leader's answer.
    ///
    /// Nothing is returned where the answer does not fit: an older revision, or a gap.
    pub fn renewed(&self, answer: &RenewReply) -> Option<Self> {
        let mut next = self.clone();
        if let Some(catalogue) = &answer.catalogue {
            next.catalogue = catalogue.clone();
        }
        for change in &answer.changes {
            if change.revision <= next.catalogue.revision {
                continue;
            }
            next.catalogue = next.catalogue.edited(&change.edits).ok()?;
        }
        let is_whole = next.catalogue.revision == answer.seen.revision;
        if !is_whole || next.catalogue.revision < self.catalogue.revision {
            return None;
        }
        if next.catalogue.revision != self.catalogue.revision {
            next.keys = index_keys(&next.catalogue);
        }
        next.seen = answer.seen;
        next.in_force = answer.in_force;
        if let Some(suspects) = &answer.suspects {
            next.suspects.clone_from(suspects);
        }
        if let Some(entries) = &answer.entries {
            entries.apply(&mut next.entries);
        }
        if let Some(evidence) = &answer.evidence {
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
