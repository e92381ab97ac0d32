//! The disk below the store.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

/// Flat folder of files, each durable step under its own name.
pub trait Disk: fmt::Debug + Send {
    /// Returns the names of all files, in order.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Returns a file's bytes.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Adds bytes at a file's end; the file is made if it is missing.
    ///
    /// # Errors
    ///
    /// Returns what the system said; some of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file's bytes durable.
    ///
    /// # Errors
    ///
    /// Returns what the system said; the bytes may be lost.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Cuts a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Gives a file another name.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the folder's list of names durable.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Folder of the file system.
#[derive(Debug)]
pub struct FolderDisk {
    path: PathBuf,
    open: BTreeMap<String, File>,
}

impl FolderDisk {
    /// Opens the folder, which must exist.
    ///
    /// # Errors
    ///
    /// Returns what the system said.
    pub fn new(path: &Path) -> io::Result<Self> {
        if !fs::metadata(path)?.is_dir() {
            return Err(io::ErrorKind::NotADirectory.into());
        }
        Ok(Self {
            path: path.to_owned(),
            open: BTreeMap::new(),
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.open.insert(name.to_owned(), file);
        }
        self.open
            .get_mut(name)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for FolderDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.push(entry.file_name().to_string_lossy().into_owned());
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
