//! `ragwortswitch lookup`: shows the entry VMs for a block of client addresses.

use crate::{
    arguments::{Argument, CommonOptions, EarlyExit, unexpected_value, unknown_option},
    command_output::CommandOutput,
    text_table::text_table,
};
use adapters::LOOKUP_PATH;
use lexopt::Parser;
use serde_json::Value;
use std::error::Error;
use steer::ClientBlock;

const HELP: &str = "\
Shows the entry VMs that a look-up gives to a block of clients, in order.

Usage: ragwortswitch lookup --block CIDR [OPTIONS]

Options:
  --block CIDR   Block of clients, such as 10.1.0.0/24
  --json         Output for programs
  --vm ADDR      Address at which an entry VM answers operators (or RAGWORT_VM)
";

/// Options of the command.
#[derive(Debug)]
pub(crate) struct LookupOptions {
    block: ClientBlock,
    pub(crate) common: CommonOptions,
}

impl LookupOptions {
    pub(crate) fn parse(parser: &mut Parser) -> Result<Self, EarlyExit> {
        let mut common = CommonOptions::default();
        let mut block = None;
        while let Some(argument) = common.next(parser, HELP)? {
            match argument {
                Argument::Option(name) if name == "block" => {
                    block = Some(lexopt::ValueExt::parse(&parser.value()?)?);
                }
                Argument::Option(name) => return Err(unknown_option(&name)),
                Argument::Value(value) => return Err(unexpected_value(value)),
            }
        }
        common.vm()?;
        Ok(Self { block: block.ok_or("--block CIDR is missing")?, common })
    }

    pub(crate) async fn run(&self) -> Result<CommandOutput, Box<dyn Error>> {
        let client = self.common.vm().map_err(|_| "no entry VM is named")?;
        let response: Value = client.read(&format!("{LOOKUP_PATH}?block={}", self.block)).await?;
        let cell = |vm: &Value, key: &str| vm[key].as_str().unwrap_or("?").to_owned();
        let vms = response["vms"].as_array().map(Vec::as_slice).unwrap_or_default();
        let rows: Vec<Vec<String>> = vms
            .iter()
            .map(|vm| vec![cell(vm, "name"), cell(vm, "zone"), cell(vm, "address")])
            .collect();
        let table = text_table(&["VM", "zone", "address"], &rows);
        let age = response["max_age_s"].as_u64().unwrap_or_default();
        let text = format!("Clients of {} may cache this for {age} s\n{table}", self.block);
        Ok(CommandOutput { failed: vms.is_empty(), json: response, text })
    }
}
