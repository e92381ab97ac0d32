//! Persistent storage of a replica: the log as segments of checksummed frames, the snapshots, and
//! the disk that holds both.

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
pub use store::Store;
pub use store::StoreContent;
