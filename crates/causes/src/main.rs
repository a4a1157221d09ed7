//! `woodgap-causes`: where requests were lost, from the logs of relays.

use std::process::ExitCode;

fn main() -> ExitCode {
    woodgap_causes::command::main()
}
