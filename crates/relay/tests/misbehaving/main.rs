//! Crowds of clients that don't behave, against a relay as a process of its own.
//!
//! They send heads and empty lines without end, large bodies of legal size and chunked ones that
//! stop just short of their end, requests that wait, one request behind another, and read no
//! answers. What is checked does not depend on the machine's speed: the process lives, its memory
//! and descriptors stay under a bound, and ordinary callers get answers while the crowd is there.
//!
//! One test runs at a time.

mod endpoint;
mod scripts;
mod site;

use rstest::rstest;
use serial_test::serial;
use woodgap_core::relay::plan::Limits;
use woodgap_harness::crowd::{Crowd, Script};

use scripts::{
    ALMOST, chunked, empty_lines, endless_head, fetches, in_pieces, pipelined, silent, tiny_chunks,
    unread, waiting, whole,
};
use site::{LASTING, Port, Site};

/// How many send bodies.
const SENDERS: usize = 150;
/// How many send heads, or leave answers unread.
const TALKERS: usize = 900;
/// How many say nothing, to a relay with few descriptors.
const SILENT: usize = 700;
/// How many requests are sent whole to an endpoint that does not answer.
const WAITING: usize = 60;
/// The descriptors that a relay may have open, and how many are few.
const DESCRIPTORS: usize = 4_100;
const FEW_DESCRIPTORS: usize = 1_024;

/// Sends a crowd to a port, and checks what must hold while it is there.
async fn bear(site: &mut Site, port: Port, count: usize, script: &Script) {
    let crowd = Crowd::send(site.address(port), count, script);
    crowd.settled().await;
    site.answers_ordinary_callers().await;
    println!("{port:?}: {:?}, {:?}", crowd.summary(), site.held());
    site.check();
}

async fn site() -> Site {
    Site::start(Limits::default(), DESCRIPTORS).await
}

#[rstest]
#[case::whole(whole(ALMOST))]
#[case::in_pieces(in_pieces(ALMOST))]
#[case::chunked(chunked(ALMOST))]
#[case::tiny_chunks(tiny_chunks())]
#[serial]
#[actix_rt::test]
async fn bodies_that_stop_short_of_their_end(
    #[case] script: Script,
    #[values(Port::Requests, Port::Peers)] port: Port,
) {
    bear(&mut site().await, port, SENDERS, &script).await;
}

#[rstest]
#[case::head(endless_head())]
#[case::empty_lines(empty_lines())]
#[case::pipelined(pipelined())]
#[serial]
#[actix_rt::test]
async fn heads_without_end(
    #[case] script: Script,
    #[values(Port::Requests, Port::Peers)] port: Port,
) {
    bear(&mut site().await, port, TALKERS, &script).await;
}

#[rstest]
#[case::bodies(SENDERS, whole(ALMOST))]
#[case::heads(TALKERS, endless_head())]
#[serial]
#[actix_rt::test]
async fn ports_that_take_no_requests(
    #[case] count: usize,
    #[case] script: Script,
    #[values(Port::Directory, Port::Ready, Port::Metrics)] port: Port,
) {
    bear(&mut site().await, port, count, &script).await;
}

/// No timeout ends these connections during the test.
#[rstest]
#[serial]
#[actix_rt::test]
async fn connections_that_say_nothing(
    #[values(
        Port::Requests,
        Port::Directory,
        Port::Ready,
        Port::Metrics,
        Port::Peers
    )]
    port: Port,
) {
    let limits = Limits {
        header_timeout: LASTING,
        idle_timeout: LASTING,
        ..Limits::default()
    };
    let mut site = Site::start(limits, FEW_DESCRIPTORS).await;
    bear(&mut site, port, SILENT, &silent()).await;
}

#[rstest]
#[serial]
#[actix_rt::test]
async fn large_requests_that_wait(#[values(Port::Requests, Port::Peers)] port: Port) {
    bear(&mut site().await, port, WAITING, &waiting()).await;
}

#[rstest]
#[serial]
#[actix_rt::test]
async fn answers_that_nobody_reads(#[values(Port::Requests, Port::Peers)] port: Port) {
    bear(&mut site().await, port, TALKERS, &unread()).await;
}

/// Fetches of other entries that announce far more than one needs.
#[rstest]
#[serial]
#[actix_rt::test]
async fn fetches_that_are_too_long() {
    bear(&mut site().await, Port::Peers, SENDERS, &fetches()).await;
}

/// In calm, requests of the largest size are served.
#[rstest]
#[serial]
#[actix_rt::test]
async fn requests_of_the_largest_size_are_served() {
    let mut site = site().await;
    for _ in 0..3 {
        site.answers(Limits::default().body_bytes).await;
    }
    site.check();
}
