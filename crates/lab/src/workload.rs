//! Request mix of the callers of a deployment.

use steer::{Snapshot, Urgency};

/// Factor by which the service time of a straggler exceeds that of other requests.
pub(crate) const STRAGGLER_FACTOR: f64 = 10.0;

/// A kind of request that the callers of a deployment send.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Size of the request body in bytes.
    pub body: usize,
    /// Name of the class.
    pub class: &'static str,
    /// Mean service time in milliseconds, without stragglers.
    pub mean_ms: f64,
    /// HTTP method.
    pub method: &'static str,
    /// Request path.
    pub path: &'static str,
    /// Name of the service.
    pub service: &'static str,
    /// Fraction of the service's busy time that this workload causes.
    pub share: f64,
    /// Fraction of requests that are stragglers.
    pub stragglers: f64,
    /// Urgency of the class.
    pub urgency: Urgency,
}

impl Workload {
    /// Mean service time in seconds, including stragglers.
    pub fn mean_work(&self) -> f64 {
        self.mean_ms / 1e3 * (1.0 + self.stragglers * (STRAGGLER_FACTOR - 1.0))
    }

    /// Requests per second that keep this workload's share of `load` of the service's slots busy.
    pub fn rate(&self, snapshot: &Snapshot, load: f64) -> f64 {
        let service = snapshot.service(&self.service.into());
        let slots: u32 = service.map_or(0, |s| s.settings.targets.values().map(|t| t.slots).sum());
        load * f64::from(slots) * self.share / self.mean_work()
    }

    /// Label in tables.
    pub fn label(&self) -> String {
        format!("{}/{}", self.service, self.class)
    }

    /// Whether the requests are interactive, that is, a user waits for the response.
    pub fn is_interactive(&self) -> bool {
        self.urgency == Urgency::Interactive
    }

    const fn read(service: &'static str, class: &'static str, path: &'static str) -> Self {
        Self {
            body: 0,
            class,
            mean_ms: 40.0,
            method: "GET",
            path,
            service,
            share: 1.0,
            stragglers: 0.0,
            urgency: Urgency::Interactive,
        }
    }

    const fn post(service: &'static str, class: &'static str, path: &'static str) -> Self {
        Self { body: 200, method: "POST", ..Self::read(service, class, path) }
    }

    const fn upload(service: &'static str, path: &'static str, body: usize) -> Self {
        let urgency = Urgency::Bulk;
        Self { body, method: "PUT", urgency, ..Self::read(service, "upload", path) }
    }

    const fn with_urgency(self, urgency: Urgency) -> Self {
        Self { urgency, ..self }
    }

    const fn work(self, mean_ms: f64, share: f64, stragglers: f64) -> Self {
        Self { mean_ms, share, stragglers, ..self }
    }
}

const VITRINE: &[Workload] = &[
    Workload::read("briefs", "read", "/briefs/1").work(40.0, 0.8, 0.002),
    Workload::read("briefs", "report", "/reports/1")
        .work(400.0, 0.2, 0.01)
        .with_urgency(Urgency::Deferrable),
    Workload::read("media", "preview", "/previews/1").work(50.0, 0.4, 0.002),
    Workload::upload("media", "/uploads/1", 4 << 20).work(1000.0, 0.3, 0.01),
    Workload::read("media", "cut", "/cuts/1").work(800.0, 0.3, 0.03).with_urgency(Urgency::Bulk),
    Workload::post("payouts", "approve", "/approvals").work(150.0, 0.6, 0.0),
    Workload::read("payouts", "read", "/payouts/1").work(30.0, 0.4, 0.0),
];

const ZADRUGA: &[Workload] = &[
    Workload::read("archive", "read", "/surveys/1").work(40.0, 0.4, 0.002),
    Workload::upload("archive", "/surveys/1", 2 << 20).work(400.0, 0.6, 0.02),
    Workload::read("calendar", "read", "/calendar/1").work(25.0, 1.0, 0.001),
    Workload::post("claims", "claim", "/claims").work(120.0, 0.6, 0.0),
    Workload::read("claims", "read", "/claims/1").work(30.0, 0.4, 0.0),
];

/// The workloads of a deployment.
///
/// ```
/// assert!(lab::workloads("vitrine").iter().any(|w| w.class == "upload"));
/// ```
pub fn workloads(deployment: &str) -> &'static [Workload] {
    if deployment == "zadruga" { ZADRUGA } else { VITRINE }
}
