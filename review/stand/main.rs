//! Stand-ins and drivers of the cases: `stand CASE FOLDER RECORD`.

mod base;
mod cut;
mod parted;
mod resumed;
mod runner;
mod stale;
mod store;
mod usage;

use std::path::Path;

fn main() {
    let all: Vec<String> = std::env::args().collect();
    let word = |index: usize| all.get(index).map(String::as_str).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let (folder, record) = (Path::new(word(2)), Path::new(word(3)));
    let code = match word(1) {
        "runner" => runner::run(word(2), word(3)),
        "stale" => stale::run(folder, record, has_trouble),
        "cut" => cut::run(folder, record, has_trouble),
        "parted" => parted::run(folder, record, has_trouble),
        "resumed" => resumed::run(folder, record, has_trouble),
        "usage" => usage::run(folder, record, has_trouble),
        _ => 2,
    };
    std::process::exit(code);
}
