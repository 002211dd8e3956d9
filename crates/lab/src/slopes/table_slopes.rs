//! Measures how lookup tables and settings grow, in this process.

use super::Slope;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{error::Error, fmt::Write, hint::black_box, net::Ipv4Addr, time::Instant};
use steer::{BlockTable, ClientBlock, Settings, SettingsPath, SettingsTree};

/// Numbers of client blocks that are measured.
const BLOCK_COUNTS: [usize; 5] = [50_000, 200_000, 600_000, 1_200_000, 1_700_000];
/// Client blocks at the required size.
const TARGET_BLOCKS: f64 = 1_700_000.0;
/// Number of lookups that are timed.
const LOOKUP_COUNT: usize = 1_000_000;
/// Numbers of sites in one settings document that are measured.
const SITE_COUNTS: [usize; 5] = [100, 400, 1_000, 1_800, 2_700];
/// Sites at the required size.
const TARGET_SITES: f64 = 2_700.0;
/// Number of regions that the blocks are assigned to.
const REGION_COUNT: u32 = 53;
/// Number of availability zones that the sites are distributed over.
const ZONE_COUNT: usize = 149;

/// Measures the lookup table by client blocks and the settings by sites.
pub(super) fn table_slopes() -> Result<Vec<Slope>, Box<dyn Error>> {
    let mut slopes = block_slopes();
    slopes.extend(settings_slopes()?);
    Ok(slopes)
}

fn block_slopes() -> Vec<Slope> {
    let names = ["build a look-up table, ms", "look-up table, bytes", "one look-up, ns"];
    let mut points = [const { Vec::new() }; 3];
    for count in BLOCK_COUNTS {
        let blocks = random_blocks(count);
        let start = Instant::now();
        let table = BlockTable::new(blocks.iter().copied());
        let build = start.elapsed().as_secs_f64() * 1e3;
        let mut rng = StdRng::seed_from_u64(2);
        let addresses: Vec<_> =
            (0..LOOKUP_COUNT).map(|_| Ipv4Addr::from_bits(rng.random())).collect();
        let start = Instant::now();
        for address in &addresses {
            black_box(table.find((*address).into()));
        }
        let find = start.elapsed().as_secs_f64() * 1e9 / LOOKUP_COUNT as f64;
        let figures = [build, table.memory_bytes() as f64, find];
        for (points, figure) in points.iter_mut().zip(figures) {
            points.push((count as f64, figure));
        }
    }
    let axis = "client blocks";
    let slopes = names.into_iter().zip(points);
    slopes.map(|(figure, points)| Slope { axis, figure, points, target: TARGET_BLOCKS }).collect()
}

/// Generates blocks from /16 to /28 that may nest. The seed is fixed, so a count always gives the
/// same blocks.
fn random_blocks(count: usize) -> Vec<(ClientBlock, u32)> {
    let mut rng = StdRng::seed_from_u64(1);
    let block = |rng: &mut StdRng| {
        let address = Ipv4Addr::from_bits(rng.random());
        let length: u8 = rng.random_range(16..=28);
        let text = format!("{address}/{length}");
        let block: ClientBlock = text.parse().expect("the text is a block");
        (block, rng.random_range(0..REGION_COUNT))
    };
    (0..count).map(|_| block(&mut rng)).collect()
}

fn settings_slopes() -> Result<Vec<Slope>, Box<dyn Error>> {
    let names = ["check a document, ms", "put a document in force, ms", "settings document, bytes"];
    let mut points = [const { Vec::new() }; 3];
    for sites in SITE_COUNTS {
        let text = team_document(sites);
        let mut tree = SettingsTree::new();
        let fleet = Settings::new(SettingsPath::Fleet, 1, fleet_document());
        tree.put_in_force(fleet.check().map_err(|p| format!("{p:?}"))?)?;
        let path = SettingsPath::Team("sites".into());
        let start = Instant::now();
        let checked =
            Settings::new(path, 2, text.as_str()).check().map_err(|p| format!("{p:?}"))?;
        let check = start.elapsed().as_secs_f64() * 1e3;
        let start = Instant::now();
        tree.put_in_force(checked)?;
        black_box(tree.to_snapshot());
        let put = start.elapsed().as_secs_f64() * 1e3;
        for (points, figure) in points.iter_mut().zip([check, put, text.len() as f64]) {
            points.push((sites as f64, figure));
        }
    }
    let axis = "sites";
    let slopes = names.into_iter().zip(points);
    Ok(slopes
        .map(|(figure, points)| Slope { axis, figure, points, target: TARGET_SITES })
        .collect())
}

fn zone_name(index: usize) -> String {
    format!("z{}", index % ZONE_COUNT)
}

fn fleet_document() -> String {
    let mut regions = String::new();
    for region in 0..REGION_COUNT as usize {
        let zones: Vec<String> = (region..ZONE_COUNT)
            .step_by(REGION_COUNT as usize)
            .map(|zone| format!("\"{}\"", zone_name(zone)))
            .collect();
        let comma = if region == 0 { "" } else { ",\n" };
        write!(
            regions,
            "{comma}    \"r{region}\": {{ \"delay_ms\": 5.0, \"zones\": [{}] }}",
            zones.join(", ")
        )
        .expect("writing to a string can't fail");
    }
    format!(
        r#"{{ "fleet": "scale", "regions": {{ {regions} }},
  "teams": {{ "sites": {{ "max_shift": 100, "services": ["site"] }} }} }}"#
    )
}

fn team_document(sites: usize) -> String {
    let mut targets = String::new();
    for site in 0..sites {
        let comma = if site == 0 { "" } else { ",\n" };
        let (a, b) = (site / 250, site % 250);
        write!(
            targets,
            r#"{comma}    "site-{site}": {{ "address": "10.0.{a}.{b}:9000", "slots": 6, "zone": "{}" }}"#,
            zone_name(site)
        )
        .expect("writing to a string can't fail");
    }
    format!(
        r#"{{ "services": {{ "site": {{
  "hosts": ["site.example"],
  "classes": {{ "read": {{ "matches": [{{ "methods": ["GET"], "path": "/" }}], "repeat": "idempotent" }} }},
  "targets": {{ {targets} }} }} }} }}"#
    )
}
