//! Sends bounded load to entries on loopback, or cross-checks what it found.

use std::process::ExitCode;

use woodgap_load::command;

fn main() -> ExitCode {
    command::main()
}
