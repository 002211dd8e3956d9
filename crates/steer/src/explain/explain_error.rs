//! Errors of explain queries.

use crate::{ClassName, ServiceName};
use displaydoc::Display;

/// The reason why a query has no explanation.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ExplainError {
    /// no settings are in force yet
    NoSettings,
    /// the service has no class {name}; {known}
    UnknownClass {
        /// Hint that names similar or known values.
        known: String,
        /// Requested name.
        name: ClassName,
    },
    /// there is no service {name}; {known}
    UnknownService {
        /// Hint that names similar or known values.
        known: String,
        /// Requested name.
        name: ServiceName,
    },
}

impl std::error::Error for ExplainError {}
