//! Data folder of a replica: its number, its log, and its reset when the log is corrupt.

use std::fs;
use std::io;
use std::io::Write;
use std::path::Path;

use papayatray_core::id::Incarnation;
use papayatray_core::id::VmId;

use super::FolderDisk;
use super::Store;
use super::StoreContent;
use super::StoreError;
use crate::replica::ReplicaId;

/// File that holds the folder's number.
const NUMBER_FILE: &str = "folder";
/// Folder within the data folder that holds the log.
const LOG_FOLDER: &str = "log";
/// Prefix of the name of a discarded log; the old folder number follows in hexadecimal.
const DISCARDED_PREFIX: &str = "corrupt-";

/// Opened data folder.
#[derive(Debug)]
pub struct Folder {
    /// Replica that the folder belongs to.
    pub id: ReplicaId,
    /// Store of the replica.
    pub store: Store<FolderDisk>,
    /// Content of the store.
    pub loaded: StoreContent,
    /// Replica to which the folder belonged before its log was discarded, and the reason.
    pub predecessor: Option<(ReplicaId, StoreError)>,
}

/// Opens the data folder of `vm`; an empty folder gets `new_number` as its folder number.
///
/// A corrupt log is moved aside and never used. The folder then gets `new_number` too, so it
/// belongs to a new replica, which receives all state from the other members.
///
/// # Errors
///
/// Fails if the disk does, or if the file with the folder number is corrupt.
pub fn open_folder(path: &Path, vm: &VmId, new_number: Incarnation) -> Result<Folder, StoreError> {
    let number = match read_number(path)? {
        Some(number) => number,
        None => write_number(path, new_number)?,
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
        Err(fault @ StoreError::Corrupt { .. }) => replace_log(path, id, new_number, fault),
        Err(error) => Err(error),
    }
}

fn open_log(path: &Path) -> Result<(Store<FolderDisk>, StoreContent), StoreError> {
    let folder = path.join(LOG_FOLDER);
    fs::create_dir_all(&folder).map_err(StoreError::disk_error("make", LOG_FOLDER))?;
    sync_folder(path).map_err(StoreError::disk_error("sync", LOG_FOLDER))?;
    let disk = FolderDisk::new(&folder).map_err(StoreError::disk_error("open", LOG_FOLDER))?;
    Store::open(disk)
}

/// Discards the log of a replica that was rolled back or removed.
///
/// The log is moved aside, and the folder becomes that of a new replica.
///
/// # Errors
///
/// Fails if the disk does.
pub fn reset_folder(
    path: &Path,
    predecessor: ReplicaId,
    new_number: Incarnation,
) -> Result<Folder, StoreError> {
    let fault = StoreError::Outdated;
    replace_log(path, predecessor, new_number, fault)
}

fn replace_log(
    path: &Path,
    predecessor: ReplicaId,
    new_number: Incarnation,
    fault: StoreError,
) -> Result<Folder, StoreError> {
    remove_discarded_logs(path).map_err(StoreError::disk_error("remove", DISCARDED_PREFIX))?;
    let discarded = format!("{DISCARDED_PREFIX}{:x}", predecessor.folder.0);
    let moved = fs::rename(path.join(LOG_FOLDER), path.join(&discarded));
    moved.map_err(StoreError::disk_error("move aside", LOG_FOLDER))?;
    let number = write_number(path, new_number)?;
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

/// Removes logs that were moved aside before, so that they do not accumulate on the disk.
fn remove_discarded_logs(path: &Path) -> io::Result<()> {
    for entry in fs::read_dir(path)? {
        let entry = entry?;
        if entry
            .file_name()
            .to_string_lossy()
            .starts_with(DISCARDED_PREFIX)
        {
            fs::remove_dir_all(entry.path())?;
        }
    }
    Ok(())
}

fn read_number(path: &Path) -> Result<Option<Incarnation>, StoreError> {
    let text = match fs::read_to_string(path.join(NUMBER_FILE)) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(StoreError::disk_error("read", NUMBER_FILE)(error)),
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
        let temporary = path.join("folder.new");
        let mut file = fs::File::create(&temporary)?;
        write!(file, "{:x}", number.0)?;
        file.sync_all()?;
        fs::rename(&temporary, path.join(NUMBER_FILE))?;
        sync_folder(path)
    })();
    written.map_err(StoreError::disk_error("write", NUMBER_FILE))?;
    Ok(number)
}

fn sync_folder(path: &Path) -> io::Result<()> {
    fs::File::open(path)?.sync_all()
}
