//! `woodgap-burn`: the report on service-level burn.

use std::process::ExitCode;

#[actix_rt::main]
async fn main() -> ExitCode {
    woodgap_burn::command::main().await
}
