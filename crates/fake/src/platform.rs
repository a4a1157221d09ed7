//! Stands in for the platform: table service, object store, instance list and duties.

mod duties;
mod faults;
mod instances;
mod objects;
mod table;

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use actix_web::middleware::from_fn;
use actix_web::web::{self, Data, ServiceConfig};
use actix_web::{HttpResponse, rt};
use woodgap_core::clock::Millis;
use woodgap_platform::clock::Clock;
use woodgap_platform::{duty, instance, object, table as protocol};

use crate::server::{self, Bound};
use duties::Taken;
use faults::{Counts, Faults, Rate};
use instances::Instances;
use objects::Objects;
use table::Rows;

/// What the command line says.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Most transactions and object writes a second; none for no limit.
    pub rate_writes: Option<u32>,
    /// Most reads, scans and object reads a second; none for no limit.
    pub rate_reads: Option<u32>,
}

/// The whole state, behind one lock: that makes each call serialisable.
struct Platform {
    clock: Clock,
    state: Mutex<State>,
}

struct State {
    rows: Rows,
    objects: Objects,
    instances: Instances,
    duties: Vec<Taken>,
    faults: Faults,
    counts: Counts,
    writes: Rate,
    reads: Rate,
    /// How often the table service has come back from an older copy; its answers name it from the
    /// first time on.
    era: u64,
}

impl Platform {
    fn new(options: &Options) -> Self {
        let state = State {
            rows: Rows::default(),
            objects: Objects::default(),
            instances: Instances::default(),
            duties: Vec::new(),
            faults: Faults::default(),
            counts: Counts::default(),
            writes: Rate::new(options.rate_writes),
            reads: Rate::new(options.rate_reads),
            era: 0,
        };
        Self {
            clock: Clock::start(),
            state: Mutex::new(state),
        }
    }

    /// Milliseconds since the start, from 1: at 0, and so in any state from
    /// before the start, there is nothing.
    fn now(&self) -> Millis {
        self.clock.now() + Millis(1)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no call panics under the lock")
    }

    /// The lock, once a late write's time has come.
    async fn lock_for_write(&self) -> MutexGuard<'_, State> {
        let late = self.lock().faults.late_writes_ms;
        sleep(late).await;
        self.lock()
    }
}

/// Binds the stand-in.
///
/// # Errors
///
/// When the address can't be bound.
pub fn bind(listen: SocketAddr, options: &Options) -> io::Result<Bound> {
    let platform = Data::new(Platform::new(options));
    server::bind(listen, "platform", move |config| {
        config.app_data(platform.clone());
        routes(config);
    })
}

fn routes(config: &mut ServiceConfig) {
    config
        .route("/fake/faults", web::post().to(faults::set))
        .route("/fake/faults", web::get().to(faults::show))
        .route("/fake/restore", web::post().to(faults::restore))
        .route("/fake/counts", web::get().to(faults::counts))
        .route("/fake/duties", web::get().to(duties::show))
        .route("/fake/instances", web::post().to(instances::set));
    let offered = web::scope("")
        .wrap(from_fn(faults::gate))
        .route(protocol::TRANSACT_PATH, web::post().to(table::transact))
        .route(protocol::READ_PATH, web::post().to(table::read))
        .route(protocol::SCAN_PATH, web::post().to(table::scan))
        .route(instance::PATH, web::get().to(instances::list))
        .route(duty::USE_PATH, web::post().to(duties::report))
        .route(duty::SIZE_PATH, web::post().to(duties::order))
        .service(
            web::resource(format!("{}{{key:.*}}", object::PATH))
                .route(web::put().to(objects::put))
                .route(web::get().to(objects::get))
                .route(web::delete().to(objects::delete)),
        );
    config.service(offered);
}

/// Carries a write through although its caller may close the connection.
async fn detached<F>(write: F) -> HttpResponse
where
    F: Future<Output = HttpResponse> + 'static,
{
    let done = rt::spawn(write).await;
    done.unwrap_or_else(|_| HttpResponse::InternalServerError().finish())
}

async fn sleep(span: Millis) {
    if span > Millis::ZERO {
        rt::time::sleep(Duration::from_millis(span.0)).await;
    }
}
