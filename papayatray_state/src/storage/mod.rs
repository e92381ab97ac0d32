//! Storage of the log: framed segments, snapshots, and a trait for the disk below.

mod disk;
mod error;
mod folder;
mod frame;
mod store;

pub use disk::Disk;
pub use disk::FolderDisk;
pub use error::StoreError;
pub use folder::Folder;
pub use folder::open_folder;
pub use folder::reset_folder;
pub use store::Loaded;
pub use store::Store;
