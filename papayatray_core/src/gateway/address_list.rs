//! Address list: the entries that are named to a caller.
//!
//! Load: callers of all data centres that pick one of the named entries at random and keep it for
//! some seconds, and entries of which some have three times the processor share of others. Each
//! address counts once, so small entries are left out of some answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::homes::Regions;
use crate::id::DataCentre;
use crate::id::Region;
use crate::id::VmId;
use crate::lease::EntryInfo;

/// Addresses that a caller takes from an answer.
pub const MAX_ADDRESSES: usize = 64;
/// Least number of near entries that are named without others: two may end while callers keep the
/// answer.
const MIN_NEAR: usize = 3;
/// Part of the mean size of a data centre's entries from which those of the caller's are enough;
/// with less, they would carry twice the load of the others.
const ENOUGH: f64 = 0.5;

/// Where a caller states that it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerPlace {
    /// Data centre.
    pub data_centre: Option<DataCentre>,
    /// Region.
    pub region: Option<Region>,
}

/// Returns the entries to name to a caller, in the order of their names.
///
/// These are entries of the caller's data centre, of its region, or all, whichever are enough. Each
/// is named with a probability in proportion to its size, which the random number `draw` decides.
pub fn choose<'a>(
    entries: &'a BTreeMap<VmId, EntryInfo>,
    place: &CallerPlace,
    regions: &Regions,
    draw: u64,
) -> Vec<&'a EntryInfo> {
    let all: Vec<&EntryInfo> = entries.values().collect();
    let sizes = Sizes::of(&all);
    sample(near(&all, place, regions, &sizes), &sizes, draw)
}

/// Sizes of entries; one that states none counts as the mean of the others.
struct Sizes {
    unstated: f64,
}

impl Sizes {
    fn of(entries: &[&EntryInfo]) -> Self {
        let stated = entries.iter().filter(|info| info.size > 0);
        let stated: Vec<f64> = stated.map(|info| f64::from(info.size)).collect();
        let unstated = if stated.is_empty() {
            1.0
        } else {
            stated.iter().sum::<f64>() / stated.len() as f64
        };
        Self { unstated }
    }

    fn size(&self, info: &EntryInfo) -> f64 {
        if info.size > 0 {
            f64::from(info.size)
        } else {
            self.unstated
        }
    }

    fn sum(&self, entries: &[&EntryInfo]) -> f64 {
        entries.iter().map(|info| self.size(info)).sum()
    }
}

/// Returns the entries of the caller's data centre if they are enough, else those of its region if
/// these are, else all.
fn near<'a>(
    all: &[&'a EntryInfo],
    place: &CallerPlace,
    regions: &Regions,
    sizes: &Sizes,
) -> Vec<&'a EntryInfo> {
    let data_centre = place.data_centre.as_ref();
    let known_region = data_centre.and_then(|data_centre| regions.region(data_centre));
    let region = known_region.or(place.region.as_ref());
    let is_in_data_centre = |info: &EntryInfo| Some(&info.data_centre) == data_centre;
    let is_in_region =
        |info: &EntryInfo| region.is_some() && regions.region(&info.data_centre) == region;
    let in_data_centre = all.iter().copied().filter(|info| is_in_data_centre(info));
    let in_region = all.iter().copied().filter(|info| is_in_region(info));
    let data_centres: BTreeSet<&DataCentre> = all.iter().map(|info| &info.data_centre).collect();
    let enough = sizes.sum(all) / data_centres.len().max(1) as f64 * ENOUGH;
    let choices: [Vec<&EntryInfo>; 2] = [in_data_centre.collect(), in_region.collect()];
    let mut choices = choices.into_iter();
    let sufficient =
        choices.find(|near| near.len() >= MIN_NEAR.min(all.len()) && sizes.sum(near) >= enough);
    sufficient.unwrap_or_else(|| all.to_vec())
}

/// Returns a systematic sample, at most [`MAX_ADDRESSES`], in proportion to size; the largest
/// entries are all in it if there are no more than that.
fn sample<'a>(near: Vec<&'a EntryInfo>, sizes: &Sizes, draw: u64) -> Vec<&'a EntryInfo> {
    let largest = near.iter().map(|info| sizes.size(info)).fold(0.0, f64::max);
    let expected = sizes.sum(&near) / largest;
    let scale = (MAX_ADDRESSES as f64 / expected).min(1.0) / largest;
    // Number from zero to one.
    let offset = (draw >> 11) as f64 / (1_u64 << 53) as f64;
    let mut position = offset;
    let mut named = Vec::new();
    for info in near {
        let probability = sizes.size(info) * scale;
        let next = position + probability;
        // A probability of one is not summed up, so that rounding leaves no such entry out.
        if probability >= 1.0 {
            named.push(info);
        } else {
            if next.floor() > position.floor() {
                named.push(info);
            }
            position = next;
        }
    }
    named.truncate(MAX_ADDRESSES);
    named
}
