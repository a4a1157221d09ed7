//! The plan with which a run begins.

use std::time::Duration;

use woodgap_core::clock::Millis;
use woodgap_core::relay::plan::{self, Plan, Route, Service, Share, Workspace};

use crate::caller::{KEYS, LONG_PATIENCE, ROUTE_TIMEOUT};
use crate::record::Kind;
use crate::streams;

/// A route of reads.
pub fn read_route(prefix: &str) -> Route {
    route(prefix, plan::Kind::Idempotent)
}

/// A route of this kind to all endpoints.
fn route(prefix: &str, kind: plan::Kind) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "album.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: millis(ROUTE_TIMEOUT),
        target: Millis(400),
        gap: None,
        priority: 0,
        shares: vec![Share {
            service: "all".to_owned(),
            weight: 1,
        }],
        attempts: 3,
        public: false,
        resumable: false,
    }
}

fn millis(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).expect("spans are short"))
}

/// Routes of all kinds, one service, two workspaces.
pub fn first() -> Plan {
    let long = Route {
        timeout: millis(LONG_PATIENCE),
        ..route(Kind::Long.path(), plan::Kind::Stream)
    };
    let workspace = |name: &str, key: &str| Workspace {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        priority: 0,
        weight: plan::DEFAULT_WEIGHT,
    };
    Plan {
        version: 0,
        routes: vec![
            read_route(Kind::Read.path()),
            route(Kind::Write.path(), plan::Kind::NonIdempotent),
            route(Kind::Stream.path(), plan::Kind::Stream),
            long,
            Route {
                resumable: true,
                ..route(streams::PATH, plan::Kind::Stream)
            },
        ],
        services: vec![Service {
            name: "all".to_owned(),
            connections: 200,
            engine: None,
            scaling: None,
            cold_rate: None,
        }],
        workspaces: vec![workspace("first", KEYS[0]), workspace("second", KEYS[1])],
        limits: plan::Limits::default(),
    }
}
