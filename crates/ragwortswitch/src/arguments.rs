//! Command line options that several commands share.

use adapters::{ConnectionPool, HttpPlatform, OperatorClient};
use derive_more::From;
use lexopt::{Arg, Parser, ValueExt};
use std::{env, net::SocketAddr};

/// Environment variable that holds the platform's address.
const PLATFORM_VARIABLE: &str = "RAGWORT_PLATFORM";
/// Environment variable that holds the address of an entry VM's operator endpoint.
const VM_VARIABLE: &str = "RAGWORT_VM";

/// Why parsing the command line ended without a command to run.
#[derive(Debug, From)]
pub(crate) enum EarlyExit {
    /// `--help` was given; holds the text to print.
    #[from(skip)]
    Help(&'static str),
    /// The arguments are invalid.
    Invalid(lexopt::Error),
    /// `--version` was given.
    #[from(skip)]
    Version,
}

impl From<&'static str> for EarlyExit {
    fn from(reason: &'static str) -> Self {
        Self::Invalid(reason.into())
    }
}

/// An argument that is not a common option.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Argument {
    /// Name of an option, without its dashes.
    Option(String),
    /// Positional value.
    Value(String),
}

/// Options that several commands share.
#[derive(Debug, Default)]
pub(crate) struct CommonOptions {
    author: Option<String>,
    /// Whether to print JSON.
    pub(crate) json: bool,
    platform: Option<SocketAddr>,
    vm: Option<SocketAddr>,
}

impl CommonOptions {
    /// Parses common options up to the next other argument, which is returned.
    pub(crate) fn next(
        &mut self,
        parser: &mut Parser,
        help: &'static str,
    ) -> Result<Option<Argument>, EarlyExit> {
        loop {
            let name = match parser.next()? {
                None => return Ok(None),
                Some(Arg::Short('h')) => "help".to_owned(),
                Some(Arg::Long(name)) => name.to_owned(),
                Some(Arg::Value(value)) => return Ok(Some(Argument::Value(value.string()?))),
                Some(other) => return Err(other.unexpected().into()),
            };
            match name.as_str() {
                "author" => self.author = Some(parser.value()?.string()?),
                "help" => return Err(EarlyExit::Help(help)),
                "json" => self.json = true,
                "platform" => self.platform = Some(parser.value()?.parse()?),
                "version" => return Err(EarlyExit::Version),
                "vm" => self.vm = Some(parser.value()?.parse()?),
                _ => return Ok(Some(Argument::Option(name))),
            }
        }
    }

    /// Creates a client for the platform.
    pub(crate) fn platform(&self) -> Result<HttpPlatform, EarlyExit> {
        let address = resolve_address(self.platform, PLATFORM_VARIABLE)?
            .ok_or("name the platform with --platform ADDR or RAGWORT_PLATFORM")?;
        let author = self.author.clone().or_else(|| env::var("USER").ok());
        let author = author.unwrap_or_else(|| "operator".to_owned());
        Ok(HttpPlatform::new(address, author, ConnectionPool::new()))
    }

    /// Creates a client for the entry VM.
    pub(crate) fn vm(&self) -> Result<OperatorClient, EarlyExit> {
        let address = resolve_address(self.vm, VM_VARIABLE)?
            .ok_or("name an entry VM's operators address with --vm ADDR or RAGWORT_VM")?;
        Ok(OperatorClient::new(address, ConnectionPool::new()))
    }
}

/// Returns the address from the option, or else from the environment variable.
fn resolve_address(
    given: Option<SocketAddr>,
    variable: &'static str,
) -> Result<Option<SocketAddr>, EarlyExit> {
    match (given, env::var(variable)) {
        (Some(address), _) => Ok(Some(address)),
        (None, Err(_)) => Ok(None),
        (None, Ok(text)) => text.parse().map(Some).map_err(|_| {
            let reason = format!("{variable}: `{text}` is not an IP number with a port");
            EarlyExit::Invalid(reason.into())
        }),
    }
}

/// Creates the error for an unknown option.
pub(crate) fn unknown_option(name: &str) -> EarlyExit {
    EarlyExit::Invalid(lexopt::Error::UnexpectedOption(format!("--{name}")))
}

/// Creates the error for a surplus positional value.
pub(crate) fn unexpected_value(value: String) -> EarlyExit {
    EarlyExit::Invalid(lexopt::Error::UnexpectedArgument(value.into()))
}
