//! The examples in `examples/` pass their check.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use lab::{Deployment, Network};
use std::fmt::Write;

#[test]
fn examples_have_the_sizes_of_the_deployments() {
    let mut table = String::new();
    for name in ["vitrine", "zadruga"] {
        let deployment = Deployment::by_name(name).unwrap();
        let snapshot = deployment.snapshot(Network::new(1)).unwrap();
        writeln!(table, "{name}: {} entry VMs", deployment.entry_vms().len()).unwrap();
        for service in snapshot.services() {
            let targets = &service.settings.targets;
            let slots: u32 = targets.values().map(|t| t.slots).sum();
            let classes: Vec<&str> = service.settings.classes.keys().map(AsRef::as_ref).collect();
            writeln!(
                table,
                "  {}: {} targets, {slots} slots, classes {}",
                service.name,
                targets.len(),
                classes.join(" ")
            )
            .unwrap();
        }
    }
    insta::assert_snapshot!(table);
}
