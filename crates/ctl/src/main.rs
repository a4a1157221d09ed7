//! `woodgap-ctl`: the operators' command.

use std::env;
use std::io;
use std::process::ExitCode;

#[actix_rt::main]
async fn main() -> ExitCode {
    let key = env::var(woodgap_ctl::key::VARIABLE).ok();
    let mut terminal = woodgap_ctl::Terminal {
        out: &mut io::stdout(),
        err: &mut io::stderr(),
    };
    let arguments = bpaf::Args::current_args();
    woodgap_ctl::run(arguments, key, &mut terminal).await.into()
}
