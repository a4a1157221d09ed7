//! DRAIN: an endpoint that another entry had told to be leaving became ready again by what the platform
//! had listed before.

use std::thread::sleep;
use std::time::Duration;

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::roster::{self, Change};
use woodgap_relay::gossip::message::Listed;

use crate::caller::get;
use crate::endpoint::{Endpoint, whole};
use crate::site::{Site, endpoint, source, until};
use crate::teller::{Other, REVISION, fetched};

/// How long the other endpoint works on a request: the leaving one seems the better one.
const WORK: Duration = Duration::from_millis(30);
/// Many times the interval at which the source is asked.
const READINGS: Duration = Duration::from_millis(300);
/// How many requests are sent.
const SENDS: usize = 20;

/// A relay before an endpoint that is to leave and one that stays, whose platform lists both as ready
/// as of this revision.
fn scene(revision: u64) -> (Site, Endpoint, Endpoint) {
    let leaving = Endpoint::always(vec![whole("yes")]);
    let staying = Endpoint::numbered(|_| {
        sleep(WORK);
        vec![whole("yes")]
    });
    let told = source(&[leaving.address, staying.address]);
    told.0.lock().unwrap().revision = Some(revision);
    let site = Site::with_trust("dub-a-1", "\"revoke_ms\": 30000", told);
    site.until_ready();
    (site, leaving, staying)
}

fn is_leaving(leaving: &Endpoint) -> roster::Endpoint {
    roster::Endpoint {
        leaving: true,
        ..endpoint(0, leaving.address)
    }
}

/// Another entry tells of this; then the platform is read some times more.
fn tell(site: &Site, listed: &Listed) {
    let live = Other::start("live");
    until(|| {
        live.tell(site.peer);
        live.hear(site.peer, true);
        live.serve(&fetched(listed.clone()));
        live.heard.get() >= REVISION
    });
    sleep(READINGS);
}

/// Sends requests, none of which may reach the leaving endpoint.
fn assert_left_alone(site: &Site, leaving: &Endpoint) {
    let before = leaving.seen().len();
    for at in 0..SENDS {
        let answer = get(site.requests, "/read/", &format!("r{at}"), "");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(leaving.seen().len(), before);
}

/// The list was read before the endpoint began to leave, and is answered after another entry has told
/// of it: as a change, or in its whole list, so that the changes between are not known one by one.
#[rstest]
#[case::change(false)]
#[case::whole_list(true)]
fn a_list_from_before_another_entrys_does_not_undo_a_leaving(#[case] is_whole: bool) {
    let (site, leaving, staying) = scene(REVISION - 5);
    let row = is_leaving(&leaving);
    let listed = if is_whole {
        Listed::All(vec![row, endpoint(1, staying.address)])
    } else {
        Listed::Changes(vec![(REVISION, Change::Listed(row))])
    };
    tell(&site, &listed);
    assert_left_alone(&site, &leaving);
}

/// Rows of a later page may be newer than the list's revision. The number after it is not this
/// entry's to give: the platform's change of that number was taken for known.
#[test]
fn a_list_that_differs_at_its_revision_does_not_hide_the_next_change() {
    let (site, leaving, _staying) = scene(REVISION - 1);
    site.source.0.lock().unwrap().endpoints[1].cold_for = Millis(1);
    sleep(READINGS);
    let change = Change::Listed(is_leaving(&leaving));
    let listed = Listed::Changes(vec![(REVISION, change)]);
    tell(&site, &listed);
    assert_left_alone(&site, &leaving);
}
