//! Measures what the quarantine costs per request and per crash, with as many records as it keeps.

use divan::{Bencher, black_box};
use woodgap_core::clock::Millis;
use woodgap_core::fingerprint::{Fingerprint, Request};
use woodgap_core::quarantine::{Cause, Crash, Quarantine};

/// The number of records with one crash each.
const RECORDS: u64 = 1_024;
/// The number of parts of a prompt beside the request itself.
const PARTS: u64 = 3;
const NOW: Millis = Millis(100_000);

fn main() {
    divan::main();
}

fn request(number: u64) -> Cause {
    Cause::Request(Fingerprint::of(&Request {
        caller: "murphy",
        method: "POST",
        host: "album.example",
        target: "/captions/",
        body: &number.to_le_bytes(),
    }))
}

/// The causes in a request, with parts that other requests hold too.
fn causes(number: u64) -> Vec<Cause> {
    let parts = (0..PARTS).map(Cause::Part);
    std::iter::once(request(number)).chain(parts).collect()
}

fn crash(endpoint: u32, at: Millis) -> Crash {
    Crash {
        endpoint,
        sent: at - Millis(100),
        at,
        pieces: 0,
    }
}

/// A quarantine that is full of requests with one crash each, and holds this many crashes of
/// requests with the same parts.
fn full(crashes: u32) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..RECORDS {
        let at = Millis(1_000 + number);
        quarantine.record_crash(&[request(number)], crash(u32::MAX, at), at);
    }
    for endpoint in 0..crashes {
        let at = Millis(20_000 + 1_000 * u64::from(endpoint));
        let causes = causes(RECORDS + u64::from(endpoint));
        quarantine.record_crash(&causes, crash(endpoint, at), at);
    }
    quarantine
}

/// Whether a request is withheld: no crash of its parts, one, and too many of parts that can't be
/// told apart.
#[divan::bench(args = [0, 1, 5])]
fn hold(bencher: Bencher, crashes: u32) {
    let quarantine = full(crashes);
    let causes = causes(0);
    bencher.bench_local(|| quarantine.hold(black_box(&causes), NOW));
}

#[divan::bench(args = [0, 5])]
fn record_success(bencher: Bencher, crashes: u32) {
    let mut quarantine = full(crashes);
    let mut number = RECORDS;
    bencher.bench_local(|| {
        number += 1;
        quarantine.record_success(&causes(number), NOW, NOW)
    });
}

#[divan::bench(args = [0, 5])]
fn record_crash(bencher: Bencher, crashes: u32) {
    let mut quarantine = full(crashes);
    let mut number = RECORDS;
    bencher.bench_local(|| {
        number += 1;
        let crash = crash(u32::try_from(number).unwrap_or_default(), NOW);
        quarantine.record_crash(&causes(number), crash, NOW)
    });
}
