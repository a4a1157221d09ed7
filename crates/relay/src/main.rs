//! `woodgap-relay`: the relay in the product's own form.

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use woodgap_platform::http::Platform;
use woodgap_relay::dialect::own::Own as Dialect;
use woodgap_relay::duties;
use woodgap_relay::duties::own::Own as Outlet;
use woodgap_relay::source::table::TableSource as Source;
use woodgap_relay::start::{self, Error, Form};
use woodgap_settings::relay::{self, Relay};

fn main() -> ExitCode {
    let options = woodgap_relay::options::parser().run();
    let settings = relay::load(&options.settings);
    let settings = settings.map_err(|problems| Error::Settings(problems.to_string()));
    match settings.and_then(|settings| start::run(settings, form)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn form(settings: &Relay) -> Result<Form, Error> {
    let platform = &settings.platform;
    let client = Platform::new(&platform.url, Duration::from_millis(platform.timeout.0));
    let duties = settings.duties.as_ref();
    let duties = duties.map(|duties| outlet(&client, &duties.url));
    let duties = duties.transpose()?;
    Ok(Form {
        dialect: Box::new(Dialect),
        source: Box::new(Source::new(client, platform.poll)),
        duties,
    })
}

fn outlet(client: &Platform, url: &str) -> Result<duties::Form, Error> {
    let wrong = |error| Error::Settings(format!("duties.url: {error}"));
    let outlet = Outlet::new(url).map_err(wrong)?;
    Ok(duties::Form {
        table: Rc::new(client.clone()),
        outlet: Rc::new(outlet),
    })
}
