//! Calls of one entry at a time: reports of use, and orders of endpoints. Numbers are written
//! down and not checked.

use actix_web::web::{Data, Json};
use actix_web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use woodgap_platform::duty::{HOLDER, NUMBER, Size, Use};

use super::Platform;

/// A call that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// Who made it.
    pub holder: String,
    /// Under which number.
    pub number: u64,
    /// What it asked.
    #[serde(flatten)]
    pub call: Call,
}

/// What a call asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// A report.
    Use(Use),
    /// An order.
    Size(Size),
}

/// `POST` of a report of use.
pub async fn report(
    platform: Data<Platform>,
    request: HttpRequest,
    told: Json<Use>,
) -> HttpResponse {
    take(&platform, &request, Call::Use(told.into_inner()))
}

/// `POST` of an order of endpoints.
pub async fn order(
    platform: Data<Platform>,
    request: HttpRequest,
    size: Json<Size>,
) -> HttpResponse {
    take(&platform, &request, Call::Size(size.into_inner()))
}

fn take(platform: &Platform, request: &HttpRequest, call: Call) -> HttpResponse {
    let header = |name: &str| request.headers().get(name)?.to_str().ok();
    let number = header(NUMBER).and_then(|number| number.parse().ok());
    let (Some(holder), Some(number)) = (header(HOLDER), number) else {
        return HttpResponse::BadRequest().body("a holder and its number are needed");
    };
    let taken = Taken {
        holder: holder.to_owned(),
        number,
        call,
    };
    let mut state = platform.lock();
    let is_reclaimable = matches!(&taken.call, Call::Size(size) if size.reclaimable);
    if is_reclaimable && crate::faults::take(&mut state.faults.none_reclaimable) {
        return HttpResponse::Conflict().body("there are none to be had");
    }
    state.duties.push(taken);
    HttpResponse::Ok().finish()
}

/// `GET /fake/duties`: all calls that were taken, in order.
pub async fn show(platform: Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(&platform.lock().duties)
}
