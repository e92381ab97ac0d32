//! The configuration: organisations, versions, services, defaults and exceptions.

mod book;
mod change;
mod entry;
mod error;
mod rules;

pub use book::Accepted;
pub use book::ChangeHistory;
pub use change::Change;
pub use change::Edit;
pub use change::Outcome;
pub use entry::Catalogue;
pub use entry::Class;
pub use entry::ClassDefault;
pub use entry::Exception;
pub use entry::Grant;
pub use entry::Organisation;
pub use entry::Rule;
pub use entry::Service;
pub use entry::Stage;
pub use entry::Version;
pub use error::EditError;
