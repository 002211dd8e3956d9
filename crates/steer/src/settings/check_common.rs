//! Checks that the fleet's and the teams' documents share.

use super::{DrainSettings, Findings, Maintenance, ValuePath};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Checks the length and characters of a name. Names appear in paths, hosts and metrics, which
/// restricts the characters.
pub(super) fn check_name(
    what: &str,
    name: &impl AsRef<str>,
    path: &ValuePath,
    findings: &mut Findings,
) {
    let name = name.as_ref();
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    let holds = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(fits);
    findings.expect(holds, path, || {
        format!(
            "{what} `{name}` is not a name: 1 to {MAX_NAME_BYTES} of a-z, 0-9, `-`, `_` and `.`"
        )
    });
}

/// Lists the drains in force and those of maintenance windows, each with its path.
pub(super) fn each_drain<'a>(
    drains: impl IntoIterator<Item = &'a DrainSettings>,
    maintenance: &'a [Maintenance],
) -> Vec<(ValuePath, &'a DrainSettings)> {
    let now = ValuePath::root().key("drains");
    let planned = ValuePath::root().key("maintenance");
    let now = drains.into_iter().map(|drain| (now.item(drain.name()), drain));
    let planned = maintenance
        .iter()
        .enumerate()
        .map(|(i, window)| (planned.index(i).key("drain"), &window.drain));
    now.chain(planned).collect()
}

/// Checks that each window begins before it ends.
pub(super) fn check_windows(maintenance: &[Maintenance], findings: &mut Findings) {
    let list = ValuePath::root().key("maintenance");
    for (i, window) in maintenance.iter().enumerate() {
        findings.expect(window.from < window.until, &list.index(i).key("until"), || {
            format!("the window ends at {} and begins at {}", window.until, window.from)
        });
    }
}

/// Checks that a number is finite and between 0 and a maximum; `positive` excludes 0.
pub(super) fn check_range(
    value: f64,
    max: f64,
    positive: bool,
    path: &ValuePath,
    findings: &mut Findings,
) {
    let above_min = if positive { value > 0.0 } else { value >= 0.0 };
    let holds = above_min && value <= max;
    findings.expect(holds, path, || {
        let min = if positive { "above 0" } else { "from 0" };
        format!("{value} is out of range; expected {min} to {max}")
    });
}
