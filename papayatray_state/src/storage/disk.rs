//! Disk operations that a store is built on.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

/// Flat folder of files; changes to it are durable only after a sync.
pub trait Disk: fmt::Debug + Send {
    /// Returns the names of all files, sorted.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Returns a file's bytes.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends bytes to a file, which is created if it is missing.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error; some of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file's content durable.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error; bytes appended since the last sync may be lost.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Truncates a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file and replaces any file that has the new name.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Disk that is a folder of the file system.
#[derive(Debug)]
pub struct FolderDisk {
    path: PathBuf,
    open_files: BTreeMap<String, File>,
}

impl FolderDisk {
    /// Opens the folder, which must exist.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn new(path: &Path) -> io::Result<Self> {
        if !fs::metadata(path)?.is_dir() {
            return Err(io::ErrorKind::NotADirectory.into());
        }
        Ok(Self {
            path: path.to_owned(),
            open_files: BTreeMap::new(),
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.open_files.insert(name.to_owned(), file);
        }
        self.open_files
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
        self.open_files.remove(from);
        self.open_files.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
