//! Catalogue: the configuration of organisations, versions, services, defaults and exceptions.

mod change;
mod error;
mod history;
mod items;
mod rules;

pub use change::Change;
pub use change::Edit;
pub use change::Outcome;
pub use error::EditError;
pub use history::Accepted;
pub use history::ChangeHistory;
pub use items::Catalogue;
pub use items::Class;
pub use items::ClassDefault;
pub use items::Exception;
pub use items::Grant;
pub use items::Organisation;
pub use items::Rule;
pub use items::Service;
pub use items::Stage;
pub use items::Version;
