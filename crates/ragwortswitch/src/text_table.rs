//! Formats text tables and wraps text.

/// Formats rows as aligned columns, separated by two spaces, under a header row.
pub(crate) fn text_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|c| c.chars().count());
        cells.chain([header[column].len()]).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    let mut text = line(header.to_vec());
    for row in rows {
        text += &line(row.iter().map(String::as_str).collect());
    }
    text
}

/// Wraps a text at 80 columns and indents each line; a longer word gets a line of its own.
pub(crate) fn wrap_text(text: &str, indent: &str) -> String {
    const COLUMNS: usize = 80;
    let mut lines = String::new();
    let mut line = indent.to_owned();
    for word in text.split_whitespace() {
        let is_empty = line.len() == indent.len();
        if !is_empty && line.chars().count() + 1 + word.chars().count() > COLUMNS {
            lines += &line;
            lines.push('\n');
            line = format!("{indent}{word}");
            continue;
        }
        if !is_empty {
            line.push(' ');
        }
        line += word;
    }
    lines + &line + "\n"
}
