//! Arguments that several commands take.

use adapters::{ConnectionPool, HttpPlatform, OperatorClient};
use derive_more::From;
use lexopt::{Arg, Parser, ValueExt};
use std::{env, net::SocketAddr};

/// Variable with the platform's address.
const PLATFORM_VARIABLE: &str = "RAGWORT_PLATFORM";
/// Variable with the address at which an entry VM answers operators.
const VM_VARIABLE: &str = "RAGWORT_VM";

/// Why a command line gives no command to run.
#[derive(Debug, From)]
pub(crate) enum Usage {
    /// The text was asked for.
    #[from(skip)]
    Help(&'static str),
    /// The arguments aren't understood.
    Misused(lexopt::Error),
    /// The version was asked for.
    #[from(skip)]
    Version,
}

impl From<&'static str> for Usage {
    fn from(reason: &'static str) -> Self {
        Self::Misused(reason.into())
    }
}

/// An argument that the command itself has to understand.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Argument {
    /// An option's name.
    Option(String),
    /// A value by its place.
    Value(String),
}

/// Options that several commands take.
#[derive(Debug, Default)]
pub(crate) struct Common {
    author: Option<String>,
    /// Output for programs.
    pub(crate) json: bool,
    platform: Option<SocketAddr>,
    vm: Option<SocketAddr>,
}

impl Common {
    /// The next argument that isn't one of the common options.
    pub(crate) fn next(
        &mut self,
        parser: &mut Parser,
        help: &'static str,
    ) -> Result<Option<Argument>, Usage> {
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
                "help" => return Err(Usage::Help(help)),
                "json" => self.json = true,
                "platform" => self.platform = Some(parser.value()?.parse()?),
                "version" => return Err(Usage::Version),
                "vm" => self.vm = Some(parser.value()?.parse()?),
                _ => return Ok(Some(Argument::Option(name))),
            }
        }
    }

    /// The platform's client.
    pub(crate) fn platform(&self) -> Result<HttpPlatform, Usage> {
        let address = address(self.platform, PLATFORM_VARIABLE)?
            .ok_or("name the platform with --platform ADDR or RAGWORT_PLATFORM")?;
        let author = self.author.clone().or_else(|| env::var("USER").ok());
        let author = author.unwrap_or_else(|| "operator".to_owned());
        Ok(HttpPlatform::new(address, author, ConnectionPool::new()))
    }

    /// A client of the entry VM.
    pub(crate) fn vm(&self) -> Result<OperatorClient, Usage> {
        let address = address(self.vm, VM_VARIABLE)?
            .ok_or("name an entry VM's operators address with --vm ADDR or RAGWORT_VM")?;
        Ok(OperatorClient::new(address, ConnectionPool::new()))
    }
}

fn address(given: Option<SocketAddr>, variable: &'static str) -> Result<Option<SocketAddr>, Usage> {
    match (given, env::var(variable)) {
        (Some(address), _) => Ok(Some(address)),
        (None, Err(_)) => Ok(None),
        (None, Ok(text)) => text.parse().map(Some).map_err(|_| {
            let reason = format!("{variable}: `{text}` is not an IP number with a port");
            Usage::Misused(reason.into())
        }),
    }
}

/// An error for an option that a command doesn't have.
pub(crate) fn unknown_option(name: &str) -> Usage {
    Usage::Misused(lexopt::Error::UnexpectedOption(format!("--{name}")))
}

/// An error for a value too many.
pub(crate) fn unexpected_value(value: String) -> Usage {
    Usage::Misused(lexopt::Error::UnexpectedArgument(value.into()))
}
