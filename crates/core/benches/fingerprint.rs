//! Measures the time to compute a fingerprint, by body length.

use divan::{Bencher, black_box};
use woodgap_core::fingerprint::{Fingerprint, Request};

fn main() {
    divan::main();
}

#[divan::bench(args = [1_000, 30_000, 250_000])]
fn of_a_body(bencher: Bencher, length: usize) {
    let body = vec![7; length];
    let request = Request {
        caller: "murphy",
        method: "POST",
        host: "album.example",
        target: "/captions/",
        body: &body,
    };
    bencher.bench(|| Fingerprint::of(black_box(&request)));
}
