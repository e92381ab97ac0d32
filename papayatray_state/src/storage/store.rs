//! Store of one replica: log segments and snapshots.

use serde::Deserialize;
use serde::Serialize;

use super::Disk;
use super::StoreError;
use super::frame;
use crate::replica::Entry;
use crate::replica::HardState;
use crate::replica::Index;
use crate::replica::Ready;
use crate::replica::Restored;
use crate::replica::Snapshot;

/// Bytes after which a new segment is begun.
const SEGMENT_BYTES: u64 = 8 << 20;
/// First part of a segment's name.
const SEGMENT: &str = "log-";
/// First part of a snapshot's name.
const SNAPSHOT: &str = "snap-";
/// Name under which a snapshot is written before it counts.
const UNFINISHED: &str = "unfinished";

/// Record within a frame; a frame holds all that one sync makes durable.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    Hard(HardState),
    Entry(Entry),
    /// The log goes on after this snapshot; nothing before it counts.
    Reset(Index),
}

/// What was stored.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// State to start a replica from.
    pub restored: Restored,
    /// Bytes of a torn write that were cut off.
    pub torn: u64,
}

/// Segment of the log.
#[derive(Clone, Debug)]
struct Segment {
    name: String,
    number: u64,
    bytes: u64,
    highest: Index,
}

/// Store over a disk.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    hard_state: HardState,
    segments: Vec<Segment>,
    reset: Index,
    syncs: u64,
    failed: bool,
}

impl<D> Store<D>
where
    D: Disk,
{
    /// Opens the store and loads what it holds.
    ///
    /// A torn write at the very end is cut off.
    ///
    /// # Errors
    ///
    /// Returns what the disk said, or the place of a corrupt record.
    pub fn open(disk: D) -> Result<(Self, Loaded), StoreError> {
        let mut store = Self {
            disk,
            hard_state: HardState::default(),
            segments: Vec::new(),
            reset: 0,
            syncs: 0,
            failed: false,
        };
        let loaded = store.load()?;
        Ok((store, loaded))
    }

    /// Returns how many times the disk was asked to make bytes durable.
    pub const fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Tells whether the disk has failed, so that nothing may be acknowledged.
    pub const fn is_failed(&self) -> bool {
        self.failed
    }

    /// Returns the disk.
    pub const fn disk(&self) -> &D {
        &self.disk
    }

    /// Returns the disk and ends the store.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Makes durable what `ready` asks for, with one sync of the log.
    ///
    /// # Errors
    ///
    /// Returns what the disk said; from then on nothing is stored any more.
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
            records.push(Record::Hard(hard_state.clone()));
        }
        if let Some(snapshot) = &ready.install {
            self.write_snapshot(snapshot)?;
            records.push(Record::Reset(snapshot.position.index));
        }
        records.extend(ready.entries.iter().cloned().map(Record::Entry));
        if !records.is_empty() {
            self.write_records(&records)?;
        }
        if let Some(snapshot) = &ready.install {
            self.clean(snapshot.position.index, snapshot.position.index)?;
        }
        Ok(())
    }

    /// Makes a snapshot durable and drops segments that hold only entries up to `needless`.
    ///
    /// # Errors
    ///
    /// Returns what the disk said; from then on nothing is stored any more.
    pub fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        needless: Index,
    ) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::Failed);
        }
        let saved = self
            .write_snapshot(snapshot)
            .and_then(|()| self.clean(snapshot.position.index, needless));
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
            let hard_state = vec![Record::Hard(self.hard_state.clone())];
            frame::write(&mut bytes, &postcard::to_stdvec(&hard_state)?);
        }
        frame::write(&mut bytes, &postcard::to_stdvec(&records)?);
        let Some(segment) = self.segments.last_mut() else {
            return Err(StoreError::Failed);
        };
        let highest = records.iter().map(Record::index).max().unwrap_or(0);
        segment.highest = segment.highest.max(highest);
        segment.bytes += bytes.len() as u64;
        let name = segment.name.clone();
        self.disk
            .append(&name, &bytes)
            .map_err(StoreError::of("append to", &name))?;
        self.sync(&name)?;
        if needs_segment {
            self.sync_folder()?;
        }
        Ok(())
    }

    fn begin_segment(&mut self) {
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        self.segments.push(Segment {
            name: format!("{SEGMENT}{number:016x}"),
            number,
            bytes: 0,
            highest: 0,
        });
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        frame::write(&mut bytes, &postcard::to_stdvec(snapshot)?);
        let name = snapshot_name(snapshot.position.index);
        if self.names()?.iter().any(|own| own == UNFINISHED) {
            self.disk
                .remove(UNFINISHED)
                .map_err(StoreError::of("remove", UNFINISHED))?;
        }
        let appended = self.disk.append(UNFINISHED, &bytes);
        appended.map_err(StoreError::of("append to", UNFINISHED))?;
        self.sync(UNFINISHED)?;
        self.disk
            .rename(UNFINISHED, &name)
            .map_err(StoreError::of("rename", &name))?;
        self.sync_folder()?;
        Ok(())
    }

    /// Removes older snapshots, and segments that hold nothing above `needless`.
    fn clean(&mut self, snapshot: Index, needless: Index) -> Result<(), StoreError> {
        for name in self.names()? {
            let is_older = parse(&name, SNAPSHOT).is_some_and(|index| index < snapshot);
            if is_older {
                self.disk
                    .remove(&name)
                    .map_err(StoreError::of("remove", &name))?;
            }
        }
        while self.segments.len() > 1 && self.segments[0].highest <= needless {
            let oldest = self.segments.remove(0);
            let removed = self.disk.remove(&oldest.name);
            removed.map_err(StoreError::of("remove", &oldest.name))?;
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<(), StoreError> {
        self.syncs += 1;
        self.disk.sync(name).map_err(StoreError::of("sync", name))
    }

    fn sync_folder(&mut self) -> Result<(), StoreError> {
        self.syncs += 1;
        self.disk
            .sync_folder()
            .map_err(StoreError::of("sync", "the folder"))
    }

    fn names(&mut self) -> Result<Vec<String>, StoreError> {
        self.disk
            .list()
            .map_err(StoreError::of("list", "the folder"))
    }
}

/// # Loading
impl<D> Store<D>
where
    D: Disk,
{
    fn load(&mut self) -> Result<Loaded, StoreError> {
        let mut loaded = Loaded::default();
        let names = self.names()?;
        if let Some(index) = names.iter().filter_map(|name| parse(name, SNAPSHOT)).max() {
            loaded.restored.snapshot = self.load_snapshot(index)?;
        }
        let numbers: Vec<u64> = names
            .iter()
            .filter_map(|name| parse(name, SEGMENT))
            .collect();
        for (at, number) in numbers.iter().enumerate() {
            let is_last = at + 1 == numbers.len();
            self.load_segment(*number, is_last, &mut loaded)?;
        }
        drop_foreign(&mut loaded.restored, self.reset);
        let base = loaded.restored.snapshot.position.index;
        check_order(base, &loaded.restored.entries)?;
        self.hard_state = loaded.restored.hard_state.clone();
        Ok(loaded)
    }

    fn load_snapshot(&mut self, index: Index) -> Result<Snapshot, StoreError> {
        let name = snapshot_name(index);
        let bytes = self
            .disk
            .read(&name)
            .map_err(StoreError::of("read", &name))?;
        let content = frame::read(&bytes, 0).map(|(content, _)| content);
        let snapshot = content.and_then(|content| postcard::from_bytes(content).ok());
        snapshot.ok_or(StoreError::Corrupt {
            file: name,
            offset: 0,
        })
    }

    fn load_segment(
        &mut self,
        number: u64,
        is_last: bool,
        loaded: &mut Loaded,
    ) -> Result<(), StoreError> {
        let name = format!("{SEGMENT}{number:016x}");
        let bytes = self
            .disk
            .read(&name)
            .map_err(StoreError::of("read", &name))?;
        let mut segment = Segment {
            name,
            number,
            bytes: 0,
            highest: 0,
        };
        let mut offset = 0;
        while offset < bytes.len() {
            let Some((records, end)) = read_records(&bytes, offset) else {
                self.cut(&segment.name, &bytes, offset, is_last)?;
                loaded.torn = (bytes.len() - offset) as u64;
                break;
            };
            for record in records {
                segment.highest = segment.highest.max(record.index());
                if let Record::Reset(index) = record {
                    self.reset = index;
                }
                record.restore(&mut loaded.restored);
            }
            offset = end;
        }
        segment.bytes = offset as u64;
        self.segments.push(segment);
        Ok(())
    }

    /// Cuts off a torn write; anything else that cannot be read is corrupt.
    fn cut(
        &mut self,
        name: &str,
        bytes: &[u8],
        offset: usize,
        is_last: bool,
    ) -> Result<(), StoreError> {
        if !is_last || frame::any_after(bytes, offset) {
            return Err(StoreError::Corrupt {
                file: name.to_owned(),
                offset: offset as u64,
            });
        }
        let cut = self.disk.truncate(name, offset as u64);
        cut.map_err(StoreError::of("truncate", name))?;
        self.sync(name)
    }
}

impl Record {
    const fn index(&self) -> Index {
        match self {
            Self::Hard(_) => 0,
            Self::Entry(entry) => entry.position.index,
            Self::Reset(index) => *index,
        }
    }

    fn restore(self, restored: &mut Restored) {
        match self {
            Self::Hard(hard_state) => restored.hard_state = hard_state,
            Self::Reset(_) => restored.entries.clear(),
            Self::Entry(entry) => {
                let index = entry.position.index;
                let kept = restored
                    .entries
                    .partition_point(|own| own.position.index < index);
                restored.entries.truncate(kept);
                restored.entries.push(entry);
            }
        }
    }
}

fn read_records(bytes: &[u8], offset: usize) -> Option<(Vec<Record>, usize)> {
    let (content, end) = frame::read(bytes, offset)?;
    let records = postcard::from_bytes(content).ok()?;
    Some((records, end))
}

/// Keeps only the entries that go on from the snapshot.
///
/// A snapshot from a leader may have been stored just before the crash, with the log still of
/// another history: its entries count only if they include the snapshot's own place.
fn drop_foreign(restored: &mut Restored, reset: Index) {
    let base = restored.snapshot.position;
    let has_base = restored.entries.iter().any(|entry| entry.position == base);
    if !has_base && reset != base.index {
        restored.entries.clear();
    }
    restored
        .entries
        .retain(|entry| entry.position.index > base.index);
}

/// Checks that no entry is missing between the snapshot and the last entry.
fn check_order(base: Index, entries: &[Entry]) -> Result<(), StoreError> {
    let has_gap = |(at, entry): (usize, &Entry)| entry.position.index != base + 1 + at as u64;
    if entries.iter().enumerate().any(has_gap) {
        return Err(StoreError::Corrupt {
            file: "the log".to_owned(),
            offset: 0,
        });
    }
    Ok(())
}

fn snapshot_name(index: Index) -> String {
    format!("{SNAPSHOT}{index:016x}")
}

fn parse(name: &str, prefix: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok()
}
