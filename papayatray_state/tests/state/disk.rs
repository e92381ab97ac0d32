//! Simulated disk that loses unsynced changes in a crash.

use std::collections::BTreeMap;
use std::io;

use papayatray_state::storage::Disk;

/// File: its durable content, and its content including unsynced writes.
#[derive(Clone, Debug, Default)]
struct File {
    durable: Vec<u8>,
    bytes: Vec<u8>,
}

/// In-memory disk.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    /// Files by number.
    files: BTreeMap<u64, File>,
    /// Number of the file under each name.
    names: BTreeMap<String, u64>,
    /// Content of `names` at the last sync of the folder.
    durable_names: BTreeMap<String, u64>,
    /// Number of the file created last.
    last_number: u64,
    /// Number of write operations that succeed before all later ones fail; `None` for no limit.
    pub fail_after: Option<u64>,
    /// Whether syncs of files report success without any effect.
    ///
    /// Set by hand, to check that the tests detect the data loss.
    pub ignores_syncs: bool,
}

impl FakeDisk {
    /// Simulates a power loss: unsynced changes are lost, except for up to `torn` bytes appended
    /// to each file.
    pub fn crash(mut self, torn: usize) -> Self {
        self.names.clone_from(&self.durable_names);
        for file in self.files.values_mut() {
            let surviving = file.bytes.len().min(file.durable.len() + torn);
            let is_longer = file.bytes.len() > file.durable.len();
            if is_longer && file.bytes.starts_with(&file.durable) {
                file.bytes.truncate(surviving);
            } else {
                file.bytes.clone_from(&file.durable);
            }
            file.durable.clone_from(&file.bytes);
        }
        self.fail_after = None;
        self
    }

    /// Flips one bit of a file, including its durable content.
    pub fn corrupt(&mut self, name: &str, offset: usize) {
        let id = self.names[name];
        let file = self.files.get_mut(&id).unwrap();
        file.bytes[offset] ^= 0x40;
        file.durable.clone_from(&file.bytes);
    }

    /// Returns the length of a file in bytes, including unsynced ones.
    pub fn length(&self, name: &str) -> usize {
        self.files[&self.names[name]].bytes.len()
    }

    /// Returns the names of all files.
    pub fn names(&self) -> Vec<String> {
        self.names.keys().cloned().collect()
    }

    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.fail_after {
            Some(0) => Err(io::ErrorKind::StorageFull.into()),
            Some(remaining) => {
                *remaining -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let id = self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.files
            .get_mut(id)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for FakeDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.file(name)?.bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        if !self.names.contains_key(name) {
            self.last_number += 1;
            self.names.insert(name.to_owned(), self.last_number);
            self.files.insert(self.last_number, File::default());
        }
        self.file(name)?.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let is_ignored = self.ignores_syncs;
        let file = self.file(name)?;
        if !is_ignored {
            file.durable.clone_from(&file.bytes);
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.count_operation()?;
        self.file(name)?
            .bytes
            .truncate(usize::try_from(length).unwrap());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.count_operation()?;
        let id = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.names.insert(to.to_owned(), id);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        self.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.count_operation()?;
        self.durable_names.clone_from(&self.names);
        Ok(())
    }
}
