//! Questions that can't be answered.

use crate::{ClassName, ServiceName};
use displaydoc::Display;

/// Why there is no explanation.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ExplainError {
    /// no settings are in force yet
    NoSettings,
    /// the service has no class {name}; {known}
    UnknownClass {
        /// What is known.
        known: String,
        /// Name that was asked for.
        name: ClassName,
    },
    /// there is no service {name}; {known}
    UnknownService {
        /// What is known.
        known: String,
        /// Name that was asked for.
        name: ServiceName,
    },
}

impl std::error::Error for ExplainError {}
