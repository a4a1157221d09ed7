//! Tables for people.

/// Rows under a header, as lines with aligned columns.
///
/// ```
/// let rows = [["dub-a-1".to_owned(), "12".to_owned()]];
/// let lines = woodgap_ctl::table::lines(["ENTRY", "REVISION"], &rows);
/// assert_eq!(lines, ["ENTRY    REVISION", "dub-a-1  12"]);
/// ```
pub fn lines<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> Vec<String> {
    let mut widths = header.map(width);
    for row in rows {
        for (most, cell) in widths.iter_mut().zip(row) {
            *most = width(cell).max(*most);
        }
    }
    let mut lines = vec![line(&header, &widths)];
    lines.extend(rows.iter().map(|row| line(row, &widths)));
    lines
}

fn width(text: &str) -> usize {
    text.chars().count()
}

fn line(cells: &[impl AsRef<str>], widths: &[usize]) -> String {
    let padded = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{:width$}", cell.as_ref()));
    let line: Vec<String> = padded.collect();
    line.join("  ").trim_end().to_owned()
}
