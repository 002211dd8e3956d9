//! Tables for people.

/// Lines up columns with two spaces between them, under a head.
pub(crate) fn text_table(head: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|c| c.chars().count());
        cells.chain([head[column].len()]).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    let mut text = line(head.to_vec());
    for row in rows {
        text += &line(row.iter().map(String::as_str).collect());
    }
    text
}

/// Breaks a text into lines of at most 80 columns, each after a margin.
pub(crate) fn wrap_text(text: &str, margin: &str) -> String {
    const COLUMNS: usize = 80;
    let mut lines = String::new();
    let mut line = margin.to_owned();
    for word in text.split_whitespace() {
        let is_empty = line.len() == margin.len();
        if !is_empty && line.chars().count() + 1 + word.chars().count() > COLUMNS {
            lines += &line;
            lines.push('\n');
            line = format!("{margin}{word}");
            continue;
        }
        if !is_empty {
            line.push(' ');
        }
        line += word;
    }
    lines + &line + "\n"
}
