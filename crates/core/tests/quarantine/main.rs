//! Tests of which requests and parts of prompts are withheld because they crash the endpoints that
//! run them.

mod cases;
mod fleet;
mod parts;

use woodgap_core::clock::Millis;
use woodgap_core::fingerprint::{Fingerprint, Request};
use woodgap_core::quarantine::{Cause, Crash};

/// Returns a request with this body as a cause.
fn request(body: &str) -> Cause {
    Cause::Request(Fingerprint::of(&Request {
        caller: "murphy",
        method: "POST",
        host: "album.example",
        target: "/captions/",
        body: body.as_bytes(),
    }))
}

/// A crash of an endpoint at this time, to which the request had been sent 100 ms earlier.
fn crash(endpoint: u32, at: u64) -> Crash {
    Crash {
        endpoint,
        sent: Millis(at - 100),
        at: Millis(at),
        pieces: 0,
    }
}
