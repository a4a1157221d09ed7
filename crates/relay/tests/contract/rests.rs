//! Connections to endpoints that forget those which rest.

use std::time::Duration;

use crate::caller::post;
use crate::endpoint::{Endpoint, Step, whole};
use crate::site::Site;

/// Long enough for a lost connection to have been forgotten, and not lost otherwise.
const REST: Duration = Duration::from_millis(250);

#[test]
fn once_a_resting_connection_was_forgotten_others_rest_for_less() {
    let endpoint = Endpoint::numbered(|number| match number {
        1 => vec![Step::Reset],
        _ => vec![whole("yes")],
    });
    let site = Site::start(&[endpoint.address]);
    let send = |id: &str| post(site.requests, "/write/", id, b"x").status;
    assert_eq!(send("r0"), 200);
    std::thread::sleep(REST);
    // Nobody knows whether this one ran: it is not sent again.
    assert_eq!(send("r1"), 502, "{:?}", endpoint.seen());
    assert_eq!(send("r2"), 200);
    std::thread::sleep(REST);
    assert_eq!(send("r3"), 200);
    let seen = endpoint.seen();
    let connections: Vec<_> = seen.iter().map(|seen| seen.connection).collect();
    assert_eq!(connections, [0, 0, 1, 2], "{seen:?}");
}
