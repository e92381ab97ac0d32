//! Persistent store of one replica: log segments and snapshots.

use serde::Deserialize;
use serde::Serialize;

use super::Disk;
use super::StoreError;
use super::frame;
use crate::replica::Entry;
use crate::replica::HardState;
use crate::replica::Index;
use crate::replica::PersistedState;
use crate::replica::Ready;
use crate::replica::Snapshot;

/// Size in bytes at which a segment is full, so that the next write goes to a new one.
const SEGMENT_BYTES: u64 = 8 << 20;
/// File name prefix of a segment; the segment's number follows in hexadecimal.
const SEGMENT_PREFIX: &str = "log-";
/// File name prefix of a snapshot; the index of its last entry follows in hexadecimal.
const SNAPSHOT_PREFIX: &str = "snap-";
/// Name under which a snapshot is written, before it is renamed into place.
const TEMPORARY_SNAPSHOT: &str = "unfinished";

/// Record of the log; a frame holds the records that were saved together.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    HardState(HardState),
    Entry(Entry),
    /// A leader's snapshot up to this index was installed; entry records before this one are void.
    Reset(Index),
}

/// Content of a store when it was opened.
#[derive(Clone, Debug, Default)]
pub struct StoreContent {
    /// State from which to start a replica.
    pub restored: PersistedState,
    /// Bytes of an incomplete last write that were truncated; 0 if there were none.
    pub truncated_bytes: u64,
}

/// File with a part of the log.
#[derive(Clone, Debug)]
struct Segment {
    name: String,
    /// Number in the file name; higher in later segments.
    number: u64,
    /// Size of the file.
    bytes: u64,
    /// Highest log index of the segment's records.
    max_index: Index,
}

/// Persistent store of one replica on a [`Disk`].
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    /// Last saved hard state, repeated at the start of each segment.
    hard_state: HardState,
    /// Segments, oldest first; the last one is appended to.
    segments: Vec<Segment>,
    /// Index of the last [`Record::Reset`] found when the store was opened; 0 if there was none.
    reset_index: Index,
    syncs: u64,
    /// Whether a write has failed.
    failed: bool,
}

impl<D> Store<D>
where
    D: Disk,
{
    /// Opens the store and loads its content.
    ///
    /// An incomplete write at the end of the last segment is truncated.
    ///
    /// # Errors
    ///
    /// Fails if the disk does, or if a record is corrupt.
    pub fn open(disk: D) -> Result<(Self, StoreContent), StoreError> {
        let mut store = Self {
            disk,
            hard_state: HardState::default(),
            segments: Vec::new(),
            reset_index: 0,
            syncs: 0,
            failed: false,
        };
        let loaded = store.load()?;
        Ok((store, loaded))
    }

    /// Returns the number of syncs since the store was opened.
    pub const fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Tells whether a write has failed; nothing may be acknowledged after that.
    pub const fn is_failed(&self) -> bool {
        self.failed
    }

    /// Returns the disk.
    pub const fn disk(&self) -> &D {
        &self.disk
    }

    /// Consumes the store and returns its disk.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Makes the hard state, snapshot and entries of `ready` durable, with one sync of the log.
    ///
    /// # Errors
    ///
    /// Fails if the disk does; every later write then fails with [`StoreError::Failed`].
    pub fn save(&mut self, ready: &Ready) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::Failed);
        }
        let saved = self.try_save(ready);
        self.failed = saved.is_err();
        saved
    }

    fn try_save(&mut self, ready: &Ready) -> Result<(), StoreError> {
        let mut records = Vec::new();
        if let Some(hard_state) = &ready.hard_state {
            self.hard_state = hard_state.clone();
            records.push(Record::HardState(hard_state.clone()));
        }
        if let Some(snapshot) = &ready.snapshot {
            self.write_snapshot(snapshot)?;
            records.push(Record::Reset(snapshot.position.index));
        }
        records.extend(ready.entries.iter().cloned().map(Record::Entry));
        if !records.is_empty() {
            self.write_records(&records)?;
        }
        if let Some(snapshot) = &ready.snapshot {
            self.remove_obsolete(snapshot.position.index, snapshot.position.index)?;
        }
        Ok(())
    }

    /// Makes a snapshot durable, and removes older snapshots and the segments without entries above
    /// `last_obsolete`.
    ///
    /// # Errors
    ///
    /// Fails if the disk does; every later write then fails with [`StoreError::Failed`].
    pub fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        last_obsolete: Index,
    ) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::Failed);
        }
        let saved = self
            .write_snapshot(snapshot)
            .and_then(|()| self.remove_obsolete(snapshot.position.index, last_obsolete));
        self.failed = saved.is_err();
        saved
    }

    fn write_records(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        let needs_segment = self
            .segments
            .last()
            .is_none_or(|s| s.bytes >= SEGMENT_BYTES);
        if needs_segment {
            self.begin_segment();
            let hard_state = vec![Record::HardState(self.hard_state.clone())];
            frame::write(&mut bytes, &postcard::to_stdvec(&hard_state)?);
        }
        frame::write(&mut bytes, &postcard::to_stdvec(&records)?);
        let Some(segment) = self.segments.last_mut() else {
            return Err(StoreError::Failed);
        };
        let max_index = records.iter().map(Record::index).max().unwrap_or(0);
        segment.max_index = segment.max_index.max(max_index);
        segment.bytes += bytes.len() as u64;
        let name = segment.name.clone();
        self.disk
            .append(&name, &bytes)
            .map_err(StoreError::disk_error("append to", &name))?;
        self.sync(&name)?;
        if needs_segment {
            self.sync_folder()?;
        }
        Ok(())
    }

    fn begin_segment(&mut self) {
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        self.segments.push(Segment {
            name: format!("{SEGMENT_PREFIX}{number:016x}"),
            number,
            bytes: 0,
            max_index: 0,
        });
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        frame::write(&mut bytes, &postcard::to_stdvec(snapshot)?);
        let name = snapshot_name(snapshot.position.index);
        if self.names()?.iter().any(|name| name == TEMPORARY_SNAPSHOT) {
            self.disk
                .remove(TEMPORARY_SNAPSHOT)
                .map_err(StoreError::disk_error("remove", TEMPORARY_SNAPSHOT))?;
        }
        let appended = self.disk.append(TEMPORARY_SNAPSHOT, &bytes);
        appended.map_err(StoreError::disk_error("append to", TEMPORARY_SNAPSHOT))?;
        self.sync(TEMPORARY_SNAPSHOT)?;
        self.disk
            .rename(TEMPORARY_SNAPSHOT, &name)
            .map_err(StoreError::disk_error("rename", &name))?;
        self.sync_folder()?;
        Ok(())
    }

    /// Removes snapshots older than `snapshot`, and segments without entries above
    /// `last_obsolete`.
    fn remove_obsolete(&mut self, snapshot: Index, last_obsolete: Index) -> Result<(), StoreError> {
        for name in self.names()? {
            let is_older =
                parse_number(&name, SNAPSHOT_PREFIX).is_some_and(|index| index < snapshot);
            if is_older {
                self.disk
                    .remove(&name)
                    .map_err(StoreError::disk_error("remove", &name))?;
            }
        }
        while self.segments.len() > 1 && self.segments[0].max_index <= last_obsolete {
            let oldest = self.segments.remove(0);
            let removed = self.disk.remove(&oldest.name);
            removed.map_err(StoreError::disk_error("remove", &oldest.name))?;
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<(), StoreError> {
        self.syncs += 1;
        self.disk
            .sync(name)
            .map_err(StoreError::disk_error("sync", name))
    }

    fn sync_folder(&mut self) -> Result<(), StoreError> {
        self.syncs += 1;
        self.disk
            .sync_folder()
            .map_err(StoreError::disk_error("sync", "the folder"))
    }

    fn names(&mut self) -> Result<Vec<String>, StoreError> {
        self.disk
            .list()
            .map_err(StoreError::disk_error("list", "the folder"))
    }
}

/// # Loading
impl<D> Store<D>
where
    D: Disk,
{
    fn load(&mut self) -> Result<StoreContent, StoreError> {
        let mut loaded = StoreContent::default();
        let names = self.names()?;
        if let Some(index) = names
            .iter()
            .filter_map(|name| parse_number(name, SNAPSHOT_PREFIX))
            .max()
        {
            loaded.restored.snapshot = self.load_snapshot(index)?;
        }
        let numbers: Vec<u64> = names
            .iter()
            .filter_map(|name| parse_number(name, SEGMENT_PREFIX))
            .collect();
        for (ordinal, number) in numbers.iter().enumerate() {
            let is_last = ordinal + 1 == numbers.len();
            self.load_segment(*number, is_last, &mut loaded)?;
        }
        drop_obsolete_entries(&mut loaded.restored, self.reset_index);
        let base = loaded.restored.snapshot.position.index;
        check_contiguous(base, &loaded.restored.entries)?;
        self.hard_state = loaded.restored.hard_state.clone();
        Ok(loaded)
    }

    fn load_snapshot(&mut self, index: Index) -> Result<Snapshot, StoreError> {
        let name = snapshot_name(index);
        let bytes = self
            .disk
            .read(&name)
            .map_err(StoreError::disk_error("read", &name))?;
        let Some((content, _)) = frame::read(&bytes, 0) else {
            return Err(StoreError::Corrupt {
                file: name,
                offset: 0,
            });
        };
        let snapshot = postcard::from_bytes(content);
        snapshot.map_err(|_later_format| StoreError::Undecodable {
            file: name,
            offset: 0,
        })
    }

    fn load_segment(
        &mut self,
        number: u64,
        is_last: bool,
        loaded: &mut StoreContent,
    ) -> Result<(), StoreError> {
        let name = format!("{SEGMENT_PREFIX}{number:016x}");
        let bytes = self
            .disk
            .read(&name)
            .map_err(StoreError::disk_error("read", &name))?;
        let mut segment = Segment {
            name,
            number,
            bytes: 0,
            max_index: 0,
        };
        let mut offset = 0;
        while offset < bytes.len() {
            let Some((content, end)) = frame::read(&bytes, offset) else {
                self.truncate_torn(&segment.name, &bytes, offset, is_last)?;
                loaded.truncated_bytes = (bytes.len() - offset) as u64;
                break;
            };
            // The checksum is right, so this is no incomplete write: a later build wrote the record.
            let records: Result<Vec<Record>, _> = postcard::from_bytes(content);
            let records = records.map_err(|_later_format| StoreError::Undecodable {
                file: segment.name.clone(),
                offset: offset as u64,
            })?;
            for record in records {
                segment.max_index = segment.max_index.max(record.index());
                if let Record::Reset(index) = record {
                    self.reset_index = index;
                }
                record.restore(&mut loaded.restored);
            }
            offset = end;
        }
        segment.bytes = offset as u64;
        self.segments.push(segment);
        Ok(())
    }

    /// Truncates an incomplete write at the end of the last segment.
    ///
    /// Fails if the unreadable bytes are anywhere else, because that is corruption.
    fn truncate_torn(
        &mut self,
        name: &str,
        bytes: &[u8],
        offset: usize,
        is_last: bool,
    ) -> Result<(), StoreError> {
        if !is_last || frame::has_frame_after(bytes, offset) {
            return Err(StoreError::Corrupt {
                file: name.to_owned(),
                offset: offset as u64,
            });
        }
        let truncated = self.disk.truncate(name, offset as u64);
        truncated.map_err(StoreError::disk_error("truncate", name))?;
        self.sync(name)
    }
}

impl Record {
    const fn index(&self) -> Index {
        match self {
            Self::HardState(_) => 0,
            Self::Entry(entry) => entry.position.index,
            Self::Reset(index) => *index,
        }
    }

    fn restore(self, restored: &mut PersistedState) {
        match self {
            Self::HardState(hard_state) => restored.hard_state = hard_state,
            Self::Reset(_) => restored.entries.clear(),
            Self::Entry(entry) => {
                let index = entry.position.index;
                let retained = restored
                    .entries
                    .partition_point(|earlier| earlier.position.index < index);
                restored.entries.truncate(retained);
                restored.entries.push(entry);
            }
        }
    }
}

/// Drops the entries that the snapshot includes, or all of them if they conflict with it.
///
/// After a crash between storing a leader's snapshot and resetting the log, the log may still hold
/// a conflicting history. Its entries are valid only if one of them has the snapshot's position.
fn drop_obsolete_entries(restored: &mut PersistedState, reset_index: Index) {
    let base = restored.snapshot.position;
    let has_base = restored.entries.iter().any(|entry| entry.position == base);
    if !has_base && reset_index != base.index {
        restored.entries.clear();
    }
    restored
        .entries
        .retain(|entry| entry.position.index > base.index);
}

/// Checks that the indexes are contiguous from the snapshot to the last entry.
fn check_contiguous(base: Index, entries: &[Entry]) -> Result<(), StoreError> {
    let has_gap =
        |(offset, entry): (usize, &Entry)| entry.position.index != base + 1 + offset as u64;
    if entries.iter().enumerate().any(has_gap) {
        return Err(StoreError::Corrupt {
            file: "the log".to_owned(),
            offset: 0,
        });
    }
    Ok(())
}

fn snapshot_name(index: Index) -> String {
    format!("{SNAPSHOT_PREFIX}{index:016x}")
}

fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok()
}
