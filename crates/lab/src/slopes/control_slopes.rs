//! Measures how the control traffic, CPU time and memory of an entry VM grow with the fleet.

use super::{
    Slope,
    scale_fleet::{ControlCost, measure_control_cost},
};
use std::error::Error;

/// Numbers of entry VMs measured in a single availability zone.
const ZONE_VMS: [u8; 5] = [2, 8, 16, 32, 48];
/// Entry VMs in a zone at the required size: 3,800 in 149 zones.
const TARGET_ZONE_VMS: f64 = 25.5;
/// Numbers of availability zones measured with one entry VM each.
const ZONES: [u8; 5] = [2, 24, 64, 104, 149];
/// Availability zones at the required size.
const TARGET_ZONES: f64 = 149.0;

/// Measures fleets of real entry VM processes.
pub(super) async fn control_slopes() -> Result<Vec<Slope>, Box<dyn Error>> {
    let mut vm_costs = Vec::new();
    for vms in ZONE_VMS {
        let cost = measure_control_cost(1, vms).await?;
        println!("{vms} entry VMs in a zone: {cost:?}");
        vm_costs.push((f64::from(vms), cost));
    }
    let mut zone_costs = Vec::new();
    for zones in ZONES {
        let cost = measure_control_cost(zones, 1).await?;
        println!("{zones} zones of one entry VM: {cost:?}");
        zone_costs.push((f64::from(zones), cost));
    }
    let mut slopes = to_slopes("entry VMs in a zone", TARGET_ZONE_VMS, &vm_costs);
    slopes.extend(to_slopes("zones of one entry VM", TARGET_ZONES, &zone_costs));
    Ok(slopes)
}

/// Name of a figure, and the function that reads it from a cost.
type Figure = (&'static str, fn(&ControlCost) -> f64);

fn to_slopes(axis: &'static str, target: f64, costs: &[(f64, ControlCost)]) -> Vec<Slope> {
    let figures: [Figure; 4] = [
        ("control sent, bytes/s", |cost| cost.sent),
        ("control received, bytes/s", |cost| cost.received),
        ("control processor time, % of a core", |cost| cost.processor * 100.0),
        ("memory, MB", |cost| cost.memory / 1e6),
    ];
    let slope = |(figure, pick): Figure| Slope {
        axis,
        figure,
        points: costs.iter().map(|(size, cost)| (*size, pick(cost))).collect(),
        target,
    };
    figures.into_iter().map(slope).collect()
}
