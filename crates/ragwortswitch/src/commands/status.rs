//! `ragwortswitch status`: shows the status of an entry VM and its view of the fleet.

use crate::{
    arguments::{Argument, CommonOptions, EarlyExit, unexpected_value, unknown_option},
    command_output::CommandOutput,
    text_table::{text_table, wrap_text},
};
use adapters::{ConnectionPool, LiveShift, OperatorClient, OperatorError, StatusView, VmView};
use lexopt::Parser;
use serde_json::json;
use std::{collections::BTreeMap, error::Error, fmt::Write};
use steer::DrainSettings;

const HELP: &str = "\
Shows what an entry VM knows: entry VMs, settings in force, refused documents,
room, shares, shifts and drains.

Usage: ragwortswitch status [OPTIONS]

Options:
  --all       Ask each entry VM which versions it has in force
  --json      Output for programs
  --vm ADDR   Address at which an entry VM answers operators (or RAGWORT_VM)
";

/// Active versions at one VM, or the error from reading them.
type Versions = Result<BTreeMap<String, u64>, OperatorError>;

/// Options of the command.
#[derive(Debug, Default)]
pub(crate) struct StatusOptions {
    all: bool,
    pub(crate) common: CommonOptions,
}

impl StatusOptions {
    pub(crate) fn parse(parser: &mut Parser) -> Result<Self, EarlyExit> {
        let mut options = Self::default();
        while let Some(argument) = options.common.next(parser, HELP)? {
            match argument {
                Argument::Option(name) if name == "all" => options.all = true,
                Argument::Option(name) => return Err(unknown_option(&name)),
                Argument::Value(value) => return Err(unexpected_value(value)),
            }
        }
        options.common.vm()?;
        Ok(options)
    }

    pub(crate) async fn run(&self) -> Result<CommandOutput, Box<dyn Error>> {
        let client = self.common.vm().map_err(|_| "no entry VM is named")?;
        let status: StatusView = client.read("/status").await?;
        let mut json = serde_json::to_value(&status)?;
        let mut text = describe(&status);
        if self.all {
            let versions = query_all(&status.vms).await;
            text += &describe_versions(&versions);
            let by_vm = versions.into_iter().map(|(vm, versions)| match versions {
                Ok(versions) => (vm, json!({ "versions": versions })),
                Err(error) => (vm, json!({ "error": error.to_string() })),
            });
            json["by_vm"] = by_vm.collect();
        }
        Ok(CommandOutput { failed: false, json, text })
    }
}

/// Queries the VMs sequentially to keep the load on the fleet low.
async fn query_all(vms: &BTreeMap<String, VmView>) -> BTreeMap<String, Versions> {
    let pool = ConnectionPool::new();
    let mut versions = BTreeMap::new();
    for (name, vm) in vms {
        let client = OperatorClient::new(vm.operators, pool.clone());
        let status = client.read::<StatusView>("/status").await;
        versions.insert(name.clone(), status.map(|status| status.versions));
    }
    versions
}

fn describe_versions(by_vm: &BTreeMap<String, Versions>) -> String {
    let mut text = "\nVersions in force at each entry VM\n".to_owned();
    for (vm, versions) in by_vm {
        let line = match versions {
            Ok(versions) => {
                let list: Vec<String> =
                    versions.iter().map(|(path, v)| format!("{path}@{v}")).collect();
                format!("{vm}: {}", list.join(" "))
            }
            Err(error) => format!("{vm}: not known, {error}"),
        };
        text += &wrap_text(&line, "  ");
    }
    text
}

/// Formats a titled table, or a line with `none` if there are no rows.
fn section(title: &str, head: &[&str], rows: &[Vec<String>]) -> String {
    if rows.is_empty() {
        return format!("\n{title}: none\n");
    }
    format!("\n{title}\n{}", text_table(head, rows))
}

/// Formats an age in seconds.
fn format_seconds(millis: u64) -> String {
    format!("{:.1}", millis as f64 / 1e3)
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// Describes the object that is drained.
pub(crate) fn drain_text(drain: &DrainSettings) -> String {
    match drain {
        DrainSettings::EntryVm(name) => format!("entry VM {name}"),
        DrainSettings::Region(name) => format!("region {name}"),
        DrainSettings::Target(name) => format!("target {name}"),
        DrainSettings::Zone(name) => format!("zone {name}"),
    }
}

/// Describes the progress of a shift at the responding VM.
pub(crate) fn live_text(live: &LiveShift) -> String {
    let LiveShift { cap, moving, phase, used } = live;
    format!("this VM moves {} ({phase}), {used} of its {cap} requests a second", percent(*moving))
}

fn describe(status: &StatusView) -> String {
    let mut text =
        format!("Fleet {} as {} sees it, digest {}\n", status.fleet, status.vm, status.digest);
    let known =
        |millis: Option<u64>| millis.map_or("never".to_owned(), |ms| format_seconds(ms) + " s ago");
    let (settings, list) = (known(status.knowledge.settings_ms), known(status.knowledge.list_ms));
    let _ = writeln!(text, "Settings confirmed {settings}, list of VMs read {list}");
    let vms = status.vms.iter().map(|(name, vm)| {
        let settings = if vm.current { "same" } else { "differ" };
        let cells = [name, &vm.region, &vm.zone, &vm.state, settings, &format_seconds(vm.heard_ms)];
        cells.map(str::to_owned).to_vec()
    });
    let head = ["VM", "region", "zone", "state", "settings", "heard s"];
    text += &section("Entry VMs", &head, &vms.collect::<Vec<_>>());
    text += &describe_settings(status);
    let room = status.room.iter().map(|r| {
        let count = format!("{}/{}", r.free, r.slots);
        let cells = [&r.service, &r.zone, &r.owner, &count, &r.queued.to_string()];
        let mut cells = cells.map(ToString::to_string).to_vec();
        cells.push(format_seconds(r.heard_ms));
        cells
    });
    let head = ["service", "zone", "owner", "free", "queued", "heard s"];
    text += &section("Room", &head, &room.collect::<Vec<_>>());
    text += &describe_traffic(status);
    text
}

fn describe_settings(status: &StatusView) -> String {
    let rows = status.versions.iter().map(|(path, v)| vec![path.clone(), v.to_string()]);
    let mut text = section("Settings in force", &["path", "version"], &rows.collect::<Vec<_>>());
    for (what, list) in [("refused", &status.refused), ("limited", &status.limited)] {
        for (path, view) in list {
            let _ = writeln!(text, "{path} version {} is {what}:", view.version);
            for problem in &view.problems {
                text += &wrap_text(problem, "  ");
            }
        }
    }
    for (path, version) in &status.waiting {
        let _ = writeln!(text, "{path} version {version} waits for a change of other settings");
    }
    text
}

fn describe_traffic(status: &StatusView) -> String {
    let shares = status.shares.iter().map(|s| {
        let cells = [&s.service, &s.home, &s.region, &percent(s.share)];
        cells.map(ToString::to_string).to_vec()
    });
    let head = ["service", "home region", "served in", "share"];
    let mut text = section("Shares", &head, &shares.collect::<Vec<_>>());
    let shifts = status.shifts.iter().map(|shift| {
        let set = &shift.set;
        let (service, from, to) = (&set.service, &set.from, &set.to);
        let cells = [service.to_string(), from.to_string(), to.to_string()];
        let shares = [percent(shift.now), percent(set.share), set.cap.to_string()];
        cells.into_iter().chain(shares).collect()
    });
    let head = ["service", "from", "to", "by ramp", "end", "cap/s"];
    text += &section("Shifts", &head, &shifts.collect::<Vec<_>>());
    for shift in &status.shifts {
        let Some(live) = &shift.live else { continue };
        let line = format!("{} to {}: {}", shift.set.service, shift.set.to, live_text(live));
        text += &wrap_text(&line, "  ");
    }
    let drains = status.drains.iter().map(|drain| vec![drain_text(drain)]);
    text += &section("Drains", &["what"], &drains.collect::<Vec<_>>());
    let windows = status.maintenance.iter().map(|window| {
        vec![drain_text(&window.drain), window.from.to_string(), window.until.to_string()]
    });
    text += &section("Maintenance", &["what", "from", "until"], &windows.collect::<Vec<_>>());
    text
}
