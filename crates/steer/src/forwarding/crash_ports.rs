//! Ports for the detection of crashed targets.

use super::RequestLog;
use crate::{CrashReport, CrashTable, Meter, Quarantine, Targets};
use slog::{info, warn};
use std::sync::Arc;

/// What is needed to find out that a target crashed, and to report it.
#[derive(Clone, Debug)]
pub struct CrashPorts {
    /// The log.
    pub log: RequestLog,
    /// Records metrics.
    pub meter: Arc<dyn Meter>,
    /// The requests that crash targets.
    pub quarantine: Arc<Quarantine>,
    /// Connects to targets.
    pub targets: Arc<dyn Targets>,
}

impl CrashPorts {
    /// Logs the crash of a target, and which of the requests that were running there are refused
    /// from now on.
    pub fn log_crash(&self, report: Option<CrashReport>) {
        let Some(report) = report else { return };
        self.meter.count("poison.crashes", 1);
        if let Some(dropped) = self.log.try_acquire_line() {
            info!(self.log.log(), "poison: target crashed"; "target" => %report.target,
                "requests" => report.requests.len(), "dropped" => dropped);
        }
        for (fingerprint, count) in report.requests {
            if count < CrashTable::LIMIT {
                continue;
            }
            let Some(dropped) = self.log.try_acquire_line() else { continue };
            warn!(self.log.log(), "poison: request refused from now on";
                "fingerprint" => %fingerprint, "crashes" => count, "dropped" => dropped);
        }
    }
}
