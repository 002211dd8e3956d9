//! `ragwortswitch explain`: shows where a request would be routed, and why.

use super::status::{drain_text, live_text};
use crate::{
    arguments::{Argument, CommonOptions, EarlyExit, unexpected_value, unknown_option},
    command_output::CommandOutput,
    text_table::{text_table, wrap_text},
};
use adapters::{ExplainView, ExplainedZone};
use lexopt::{Parser, ValueExt};
use std::{error::Error, fmt::Write};
use steer::ClientBlock;

const HELP: &str = "\
Explains where a request would go now, with each reason.

Usage: ragwortswitch explain --service NAME --block CIDR [OPTIONS]

Options:
  --block CIDR     Block of clients, such as 10.1.0.0/24
  --class NAME     Show this class alone
  --json           Output for programs
  --service NAME   Service that the request asks for
  --vm ADDR        Where an entry VM answers operators (or RAGWORT_VM)
";

/// Options of the command.
#[derive(Debug)]
pub(crate) struct ExplainOptions {
    block: ClientBlock,
    class: Option<String>,
    pub(crate) common: CommonOptions,
    service: String,
}

impl ExplainOptions {
    pub(crate) fn parse(parser: &mut Parser) -> Result<Self, EarlyExit> {
        let mut common = CommonOptions::default();
        let (mut block, mut class, mut service) = (None, None, None);
        while let Some(argument) = common.next(parser, HELP)? {
            match argument {
                Argument::Option(name) if name == "block" => {
                    block = Some(parser.value()?.parse()?);
                }
                Argument::Option(name) if name == "class" => {
                    class = Some(parser.value()?.string()?);
                }
                Argument::Option(name) if name == "service" => {
                    service = Some(parser.value()?.string()?);
                }
                Argument::Option(name) => return Err(unknown_option(&name)),
                Argument::Value(value) => return Err(unexpected_value(value)),
            }
        }
        common.vm()?;
        let block = block.ok_or("--block CIDR is missing")?;
        let service = service.ok_or("--service NAME is missing")?;
        Ok(Self { block, class, common, service })
    }

    pub(crate) async fn run(&self) -> Result<CommandOutput, Box<dyn Error>> {
        let client = self.common.vm().map_err(|_| "no entry VM is named")?;
        let mut path = format!("/explain?service={}&block={}", self.service, self.block);
        if let Some(class) = &self.class {
            path += &format!("&class={class}");
        }
        let view: ExplainView = client.read(&path).await?;
        let json = serde_json::to_value(&view)?;
        Ok(CommandOutput { failed: false, json, text: describe(&view) })
    }
}

fn describe(view: &ExplainView) -> String {
    let ExplainView { block, service, team, .. } = view;
    let mut text = format!("Service {service} of team {team}, clients of {block}\n");
    let home = match &view.prefix {
        Some(prefix) => format!("Home region {}, by the prefix {prefix}.", view.home),
        None => format!("Home region {}, as no prefix holds the block.", view.home),
    };
    text += &wrap_text(&home, "");
    let vms: Vec<String> = view.vms.iter().map(|vm| format!("{} ({})", vm.name, vm.zone)).collect();
    text += &wrap_text(&format!("Entry VMs in order: {}.", vms.join(", ")), "");
    text += &wrap_text(&format!("The request arrives in zone {}.", view.arrival), "");
    text += &describe_shares(view);
    for class in &view.classes {
        let (repeat, urgency) = (serialized_name(&class.repeat), serialized_name(&class.urgency));
        let line = format!(
            "Class {}: {urgency}, {repeat}, deadline {} ms, {:.0}% of a target's slots.",
            class.name,
            class.deadline_ms,
            class.slot_share * 100.0
        );
        text += &wrap_text(&line, "");
    }
    let rows: Vec<Vec<String>> = view.zones.iter().map(zone_row).collect();
    let head = ["zone", "region", "delay ms", "targets", "free", "owner", "verdict"];
    let _ = write!(text, "\n{}", text_table(&head, &rows));
    for zone in view.zones.iter().filter(|zone| !zone.drains.is_empty()) {
        let drains: Vec<String> = zone.drains.iter().map(drain_text).collect();
        text += &wrap_text(&format!("{}: drained are {}", zone.zone, drains.join(", ")), "");
    }
    let end = match &view.chosen {
        Some(zone) => format!("\nThe request would run in {zone}.\n"),
        None => "\nNo zone has a free slot: the request would wait, or be refused.\n".to_owned(),
    };
    text + &end
}

fn describe_shares(view: &ExplainView) -> String {
    let mut text = String::new();
    for (region, share) in &view.shares {
        let _ =
            writeln!(text, "Share of {} served in {region}: {:.1}%.", view.region, share * 100.0);
    }
    for shift in &view.shifts {
        let (now, end) = (shift.now * 100.0, shift.share * 100.0);
        let line = format!(
            "Shift to {}: {now:.1}% by its ramp, {end:.1}% in the end, at most {} requests a second.",
            shift.to, shift.cap
        );
        text += &wrap_text(&line, "");
        if let Some(live) = &shift.live {
            text += &wrap_text(&live_text(live), "  ");
        }
    }
    if text.is_empty() { "No shares and shifts are set for it.\n".to_owned() } else { text }
}

/// Returns the serialized name of an enum value, as written in settings.
fn serialized_name(value: &impl serde::Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

fn zone_row(zone: &ExplainedZone) -> Vec<String> {
    let unknown = || "?".to_owned();
    let free = zone.room.as_ref().map_or_else(unknown, |r| format!("{}/{}", r.free, r.slots));
    vec![
        zone.zone.clone(),
        zone.region.clone(),
        zone.delay_ms.map_or_else(unknown, |delay| delay.to_string()),
        format!("{}/{}", zone.serving, zone.targets),
        free,
        zone.room.as_ref().map_or_else(unknown, |r| r.owner.clone()),
        zone.verdict.clone(),
    ]
}
