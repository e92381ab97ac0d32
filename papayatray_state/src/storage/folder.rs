//! Data folder of a replica: its number, and what is done when it is found corrupt.

use std::fs;
use std::io;
use std::io::Write;
use std::path::Path;

use papayatray_core::id::Incarnation;
use papayatray_core::id::VmId;

use super::FolderDisk;
use super::Loaded;
use super::Store;
use super::StoreError;
use crate::replica::ReplicaId;

/// File that holds the folder's number.
const NUMBER_FILE: &str = "folder";
/// Folder, within the data folder, that holds the log.
const LOG_FOLDER: &str = "log";
/// First part of the name of a log that was put aside.
const ASIDE: &str = "corrupt-";

/// Data folder that was opened.
#[derive(Debug)]
pub struct Folder {
    /// Name of the replica that the folder belongs to.
    pub id: ReplicaId,
    /// Store over the folder.
    pub store: Store<FolderDisk>,
    /// What was stored.
    pub loaded: Loaded,
    /// Replica that the folder belonged to before it was found corrupt, and how it was found.
    pub predecessor: Option<(ReplicaId, StoreError)>,
}

/// Opens the data folder of `vm`, and makes it a replica's with `fresh` as number if it is empty.
///
/// A corrupt log is put aside, never used: the folder becomes another replica's, which gets all
/// state from the others.
///
/// # Errors
///
/// Returns what the disk said.
pub fn open_folder(path: &Path, vm: &VmId, fresh: Incarnation) -> Result<Folder, StoreError> {
    let number = match read_number(path)? {
        Some(number) => number,
        None => write_number(path, fresh)?,
    };
    let id = ReplicaId {
        vm: vm.clone(),
        folder: number,
    };
    match open_log(path) {
        Ok((store, loaded)) => Ok(Folder {
            id,
            store,
            loaded,
            predecessor: None,
        }),
        Err(fault @ StoreError::Corrupt { .. }) => replace(path, id, fresh, fault),
        Err(error) => Err(error),
    }
}

fn open_log(path: &Path) -> Result<(Store<FolderDisk>, Loaded), StoreError> {
    let folder = path.join(LOG_FOLDER);
    fs::create_dir_all(&folder).map_err(StoreError::of("make", LOG_FOLDER))?;
    sync_folder(path).map_err(StoreError::of("sync", LOG_FOLDER))?;
    let disk = FolderDisk::new(&folder).map_err(StoreError::of("open", LOG_FOLDER))?;
    Store::open(disk)
}

/// Puts the log aside, for a replica that may not take part with it any more, and makes the
/// folder a new replica's.
///
/// # Errors
///
/// Returns what the disk said.
pub fn reset_folder(
    path: &Path,
    predecessor: ReplicaId,
    fresh: Incarnation,
) -> Result<Folder, StoreError> {
    let fault = StoreError::Outdated;
    replace(path, predecessor, fresh, fault)
}

fn replace(
    path: &Path,
    predecessor: ReplicaId,
    fresh: Incarnation,
    fault: StoreError,
) -> Result<Folder, StoreError> {
    remove_aside(path).map_err(StoreError::of("remove", ASIDE))?;
    let aside = format!("{ASIDE}{:x}", predecessor.folder.0);
    let moved = fs::rename(path.join(LOG_FOLDER), path.join(&aside));
    moved.map_err(StoreError::of("put aside", LOG_FOLDER))?;
    let number = write_number(path, fresh)?;
    let (store, loaded) = open_log(path)?;
    let id = ReplicaId {
        vm: predecessor.vm.clone(),
        folder: number,
    };
    Ok(Folder {
        id,
        store,
        loaded,
        predecessor: Some((predecessor, fault)),
    })
}

/// Removes logs that were put aside before, so that they cannot fill the disk.
fn remove_aside(path: &Path) -> io::Result<()> {
    for entry in fs::read_dir(path)? {
        let entry = entry?;
        if entry.file_name().to_string_lossy().starts_with(ASIDE) {
            fs::remove_dir_all(entry.path())?;
        }
    }
    Ok(())
}

fn read_number(path: &Path) -> Result<Option<Incarnation>, StoreError> {
    let text = match fs::read_to_string(path.join(NUMBER_FILE)) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(StoreError::of("read", NUMBER_FILE)(error)),
    };
    let number = u64::from_str_radix(text.trim(), 16).ok().map(Incarnation);
    let fault = || StoreError::Corrupt {
        file: NUMBER_FILE.to_owned(),
        offset: 0,
    };
    number.map(Some).ok_or_else(fault)
}

fn write_number(path: &Path, number: Incarnation) -> Result<Incarnation, StoreError> {
    let written = (|| {
        let fresh = path.join("folder.new");
        let mut file = fs::File::create(&fresh)?;
        write!(file, "{:x}", number.0)?;
        file.sync_all()?;
        fs::rename(&fresh, path.join(NUMBER_FILE))?;
        sync_folder(path)
    })();
    written.map_err(StoreError::of("write", NUMBER_FILE))?;
    Ok(number)
}

fn sync_folder(path: &Path) -> io::Result<()> {
    fs::File::open(path)?.sync_all()
}
