//! `woodgap-entry`: one per entry instance, all alike.

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = woodgap_entry::options::read();
    match woodgap_entry::start::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
