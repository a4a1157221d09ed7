//! Carries out what the command line asks for.

mod case;
mod changes;
mod check;
mod control;
pub mod overhead;
mod permits;
mod run;

use std::process::ExitCode;

use serde::Serialize;

use crate::options::{Command, parser};

/// Runs the program.
pub fn main() -> ExitCode {
    let done = match parser().run() {
        Command::Run(options) => run::run(&options),
        Command::Check(options) => check::run(&options),
        Command::Changes(options) => changes::run(&options),
        Command::Case(options) => case::run(&options),
        Command::Permits(options) => permits::run(&options),
        Command::Control(options) => control::run(&options),
        Command::Overhead(options) => overhead::run(options),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("woodgap-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn print_line(value: &impl Serialize) {
    // Our own types have only texts and numbers as keys, so this can't fail.
    let line = serde_json::to_string(value).expect("a value with simple keys");
    println!("{line}");
}
