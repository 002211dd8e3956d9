//! Checks that documents have in common.

use super::{DrainSettings, Findings, Maintenance, Place};

/// Longest name in bytes.
const MAX_NAME: usize = 63;

/// Names stand in paths, hosts and metrics, so their letters are few.
pub(super) fn check_name(what: &str, name: &impl AsRef<str>, place: &Place, found: &mut Findings) {
    let name = name.as_ref();
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    let holds = (1..=MAX_NAME).contains(&name.len()) && name.chars().all(fits);
    found.expect(holds, place, || {
        format!("{what} `{name}` is not a name: 1 to {MAX_NAME} of a-z, 0-9, `-`, `_` and `.`")
    });
}

/// The place of each drain with what is drained: those in force, and those of maintenance.
pub(super) fn each_drain<'a>(
    drains: impl IntoIterator<Item = &'a DrainSettings>,
    maintenance: &'a [Maintenance],
) -> Vec<(Place, &'a DrainSettings)> {
    let now = Place::root().key("drains");
    let planned = Place::root().key("maintenance");
    let now = drains.into_iter().map(|drain| (now.item(drain.name()), drain));
    let planned = maintenance
        .iter()
        .enumerate()
        .map(|(i, window)| (planned.index(i).key("drain"), &window.drain));
    now.chain(planned).collect()
}

/// Checks that each window begins before it ends.
pub(super) fn check_windows(maintenance: &[Maintenance], found: &mut Findings) {
    let list = Place::root().key("maintenance");
    for (i, window) in maintenance.iter().enumerate() {
        found.expect(window.from < window.until, &list.index(i).key("until"), || {
            format!("the window ends at {} and begins at {}", window.until, window.from)
        });
    }
}

/// Checks that a number is finite and lies between 0 and a limit, `open` to leave out 0.
pub(super) fn check_range(value: f64, most: f64, open: bool, place: &Place, found: &mut Findings) {
    let low = if open { value > 0.0 } else { value >= 0.0 };
    let holds = low && value <= most;
    found.expect(holds, place, || {
        let least = if open { "above 0" } else { "from 0" };
        format!("{value} is out of range; expected {least} to {most}")
    });
}
