//! Reads the rows of a span of minutes from the table service.

use woodgap_core::burn::{Row, TABLE};
use woodgap_platform::Error;
use woodgap_platform::table::{Scan, Table};

/// Reads the rows of these minutes, both included.
///
/// # Errors
///
/// The table service's.
pub async fn read(table: &impl Table, first: u64, last: u64) -> Result<Vec<Row>, Error> {
    let mut rows = Vec::new();
    let mut after = format!("{first:010}");
    loop {
        let scan = Scan {
            table: TABLE.to_owned(),
            prefix: String::new(),
            after: after.clone(),
            limit: Scan::MOST,
        };
        let page = table.scan(&scan).await?;
        let Some(end) = page.last() else {
            return Ok(rows);
        };
        after.clone_from(&end.key);
        for row in page {
            let row: Row = serde_json::from_value(row.value)
                .map_err(|error| Error::Unknown(error.to_string()))?;
            if row.minute > last {
                return Ok(rows);
            }
            rows.push(row);
        }
    }
}
