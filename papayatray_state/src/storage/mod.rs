//! Storage of the log as segments of checksummed frames, of snapshots, and the disk below them.

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
