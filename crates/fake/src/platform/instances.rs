//! The instance list, shown as late as ordered.

use std::collections::VecDeque;

use actix_web::HttpResponse;
use actix_web::web::{Data, Json};
use woodgap_core::clock::Millis;
use woodgap_platform::instance::Instance;

use super::Platform;

/// How many past lists are kept: a change every 100 ms under a lag of 30 s.
const KEPT: usize = 300;

/// The lists of the last while, oldest first.
#[derive(Debug, Default)]
pub struct Instances {
    lists: VecDeque<(Millis, Vec<Instance>)>,
}

impl Instances {
    fn set(&mut self, now: Millis, list: Vec<Instance>) {
        self.lists.push_back((now, list));
        if self.lists.len() > KEPT {
            self.lists.pop_front();
        }
    }

    fn at(&self, at: Millis) -> &[Instance] {
        let shown = self.lists.iter().rev().find(|(since, _)| *since <= at);
        shown.map_or(&[], |(_, list)| list)
    }
}

/// `POST /fake/instances`: replaces the whole list.
pub async fn set(platform: Data<Platform>, list: Json<Vec<Instance>>) -> HttpResponse {
    let now = platform.now();
    platform.lock().instances.set(now, list.into_inner());
    HttpResponse::NoContent().finish()
}

/// `GET /instances/v1`.
pub async fn list(platform: Data<Platform>) -> HttpResponse {
    let mut state = platform.lock();
    state.counts.lists += 1;
    let at = platform.now() - state.faults.list_lag_ms;
    HttpResponse::Ok().json(state.instances.at(at))
}
