//! The platform's store comes back from an older copy, in a new era.

use std::time::Duration;

use woodgap_core::clock::Millis;
use woodgap_core::era::Era;
use woodgap_core::fingerprint::{Fingerprint, Request};
use woodgap_core::quarantine::{Cause, Crash, Quarantine, StoredHistory};

use crate::site::{Site, plan, source, until};

/// What is stored of a request that has crashed so many endpoints.
fn history(body: &[u8], crashes: u32) -> StoredHistory {
    let request = Request {
        caller: "murphy",
        method: "POST",
        host: "album.example",
        target: "/read/",
        body,
    };
    let cause = Cause::Request(Fingerprint::of(&request));
    let mut quarantine = Quarantine::default();
    let mut now = Millis::ZERO;
    for endpoint in 1..=crashes {
        now = Millis::from_secs(u64::from(endpoint));
        let crash = Crash {
            endpoint,
            sent: now,
            at: now,
            pieces: 0,
        };
        quarantine.record_crash(&[cause], crash, now);
    }
    let unix = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis();
    StoredHistory {
        told: quarantine.history_to_store(cause, now).unwrap(),
        written_unix: Millis(u64::try_from(unix).unwrap()),
    }
}

/// LOST: only requests that were withheld were stored again. One that had crashed two endpoints was
/// counted from nothing by entries that started after a loss of all.
#[test]
fn crashes_that_may_soon_withhold_a_request_are_stored_again_after_a_restore() {
    let stored = [history(b"withheld", 3), history(b"suspected", 2)];
    let source = source(&[]);
    let kept = source.0.lock().unwrap().kept.clone();
    for history in &stored {
        kept.lock()
            .unwrap()
            .insert(history.told.cause, history.clone());
    }
    let site = Site::with("dub-a-1", source.clone());
    site.until_ready();
    std::thread::sleep(Duration::from_millis(500));
    // The copy has none of it.
    kept.lock().unwrap().clear();
    source.0.lock().unwrap().plan = Some(plan(Era::new(2).stamp(1)));
    until(|| kept.lock().unwrap().contains_key(&stored[0].told.cause));
    std::thread::sleep(Duration::from_millis(500));
    assert!(kept.lock().unwrap().contains_key(&stored[1].told.cause));
}
