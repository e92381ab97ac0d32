//! Commands of the command line.

mod edit;
mod error;
mod run;
mod show;

pub use error::CommandError;
pub use run::new_key;
pub use run::run;
