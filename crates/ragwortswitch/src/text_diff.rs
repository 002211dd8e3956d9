//! Line-based diff of two texts.

/// A line of a diff, marked as added, kept or removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LineChange<'a> {
    /// The line is only in the new text.
    Added(&'a str),
    /// The line is in both texts.
    Kept(&'a str),
    /// The line is only in the old text.
    Removed(&'a str),
}

/// Maximum number of line pairs that are compared, which bounds the memory of the table of common
/// subsequences. A larger part is shown as removed and added as a whole.
const MAX_LINE_PAIRS: usize = 4_000_000;
/// Number of unchanged lines shown before and after a change.
const CONTEXT_LINES: usize = 2;

/// Compares two texts by their longest common subsequence of lines.
pub(crate) fn compare_texts<'a>(old: &'a str, new: &'a str) -> Vec<LineChange<'a>> {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let head = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let (old_rest, new_rest) = (&old[head..], &new[head..]);
    let tail = old_rest.iter().rev().zip(new_rest.iter().rev()).take_while(|(a, b)| a == b).count();
    let old_middle = &old_rest[..old_rest.len() - tail];
    let new_middle = &new_rest[..new_rest.len() - tail];
    let mut changes: Vec<LineChange<'a>> =
        old[..head].iter().map(|l| LineChange::Kept(l)).collect();
    changes.extend(compare_lines(old_middle, new_middle));
    changes.extend(old[old.len() - tail..].iter().map(|l| LineChange::Kept(l)));
    changes
}

fn compare_lines<'a>(old: &[&'a str], new: &[&'a str]) -> Vec<LineChange<'a>> {
    if old.len().saturating_mul(new.len()) > MAX_LINE_PAIRS {
        let removed = old.iter().map(|l| LineChange::Removed(l));
        return removed.chain(new.iter().map(|l| LineChange::Added(l))).collect();
    }
    let width = new.len() + 1;
    let mut common = vec![0_u32; (old.len() + 1) * width];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            common[i * width + j] = if old[i] == new[j] {
                common[(i + 1) * width + j + 1] + 1
            } else {
                common[(i + 1) * width + j].max(common[i * width + j + 1])
            };
        }
    }
    let (mut i, mut j) = (0, 0);
    let mut changes = Vec::new();
    while i < old.len() && j < new.len() {
        if old[i] == new[j] {
            changes.push(LineChange::Kept(old[i]));
            (i, j) = (i + 1, j + 1);
        } else if common[(i + 1) * width + j] >= common[i * width + j + 1] {
            changes.push(LineChange::Removed(old[i]));
            i += 1;
        } else {
            changes.push(LineChange::Added(new[j]));
            j += 1;
        }
    }
    changes.extend(old[i..].iter().map(|l| LineChange::Removed(l)));
    changes.extend(new[j..].iter().map(|l| LineChange::Added(l)));
    changes
}

/// Formats the diff with context lines around each change; empty if the texts are equal.
pub(crate) fn diff_text(old: &str, new: &str) -> String {
    let changes = compare_texts(old, new);
    let is_changed = |change: &LineChange<'_>| !matches!(change, LineChange::Kept(_));
    let mut text = String::new();
    let mut skipped = false;
    for (i, change) in changes.iter().enumerate() {
        let around = i.saturating_sub(CONTEXT_LINES)..(i + CONTEXT_LINES + 1).min(changes.len());
        if !changes[around].iter().any(is_changed) {
            skipped = true;
            continue;
        }
        if skipped && !text.is_empty() {
            text += "  ...\n";
        }
        skipped = false;
        let (mark, line) = match change {
            LineChange::Added(line) => ('+', line),
            LineChange::Kept(line) => (' ', line),
            LineChange::Removed(line) => ('-', line),
        };
        text += &format!("{mark} {line}\n");
    }
    text
}

/// Counts added and removed lines.
pub(crate) fn count_changes(old: &str, new: &str) -> (usize, usize) {
    let changes = compare_texts(old, new);
    let count = |wanted: fn(&LineChange<'_>) -> bool| changes.iter().filter(|c| wanted(c)).count();
    (count(|c| matches!(c, LineChange::Added(_))), count(|c| matches!(c, LineChange::Removed(_))))
}
