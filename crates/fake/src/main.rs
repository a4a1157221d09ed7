//! Runs one stand-in until it is stopped.

use std::io::{self, Write};

#[actix_web::main]
async fn main() -> io::Result<()> {
    let options = woodgap_fake::options::parser().run();
    let bound = woodgap_fake::bind(options)?;
    let mut out = io::stdout();
    writeln!(out, "{}", bound.ready())?;
    out.flush()?;
    bound.server.await
}
