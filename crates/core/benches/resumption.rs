//! The cost of remembering which version began a stream, for one entry at the target size:
//!
//!     cargo bench -p woodgap-core --bench resumption [-- ENTRIES...]

use std::hint::black_box;
use std::time::{Duration, Instant};

use woodgap_core::clock::Millis;
use woodgap_core::name::{DataCentre, Entry, Incarnation};
use woodgap_core::relay::fleet::{Fleet, Member};
use woodgap_core::relay::resumption::inquiry::Notice;
use woodgap_core::relay::resumption::{Build, Keepers, Message, Registry, Stream};

const SIZES: [u32; 3] = [6, 100, 400];
/// Streams that an entry begins in a second.
const STREAMS: u64 = 35;
/// How long a stream is remembered: a timeout of 30 s and the time in which it may be taken up.
const REMEMBERED: Millis = Millis(60_000);
const RUNS: u32 = 20;

fn main() {
    println!("entries  keepers us  notice bytes  second us  kept  new keepers ms");
    let requested = std::env::args().skip(1).filter_map(|it| it.parse().ok());
    let mut sizes: Vec<u32> = requested.collect();
    if sizes.is_empty() {
        sizes = SIZES.to_vec();
    }
    for entries in sizes {
        measure(entries);
    }
}

fn measure(entries: u32) {
    let now = Millis(3_600_000);
    let mut fleet = fleet(entries, 1, now);
    let (building, keepers) = timed(|| Keepers::new(&fleet));
    let notices = notices(0..STREAMS);
    let bytes = postcard::to_stdvec(&Message::Notices(notices[..1].to_vec()));
    let bytes = bytes.expect("a notice can be encoded").len();
    // Each stream of a second is told by itself.
    let (second, ()) = timed(|| {
        for notice in &notices {
            black_box(Keepers::new(&fleet).of(notice.stream));
        }
    });
    let mut registry = Registry::new(now);
    registry.observe("m", "v1", now);
    registry.observe("m", "v2", now);
    let stream = Stream::of("murphy", "r1");
    let copies = keepers.of(stream).len() as u64 + 1;
    for notice in self::notices(0..STREAMS * copies * REMEMBERED.0 / 1_000) {
        registry.record(notice.stream, notice.build, now + Millis(30_000));
    }
    fleet.record_contact(member(1, 2), now);
    let after = Keepers::new(&fleet);
    let (looking, _) = timed(|| {
        let all = registry.notices(now);
        all.iter()
            .map(|it| after.new_since(&keepers, it.stream).len())
            .sum::<usize>()
    });
    println!(
        "{entries:7} {:11} {bytes:13} {:10} {:5} {:15.1}",
        building.as_micros(),
        second.as_micros(),
        registry.len(),
        looking.as_secs_f64() * 1_000.0,
    );
}

/// The mean time of a run, and the result of the last one.
fn timed<T>(run: impl Fn() -> T) -> (Duration, T) {
    let begun = Instant::now();
    let mut result = run();
    for _ in 1..RUNS {
        result = black_box(run());
    }
    (begun.elapsed() / RUNS, result)
}

fn notices(numbers: std::ops::Range<u64>) -> Vec<Notice> {
    let notice = |number: u64| Notice {
        stream: Stream::of("murphy", &number.to_string()),
        build: Build::of("m", "v1"),
        keep_for: REMEMBERED,
    };
    numbers.map(notice).collect()
}

fn fleet(entries: u32, incarnation: u64, now: Millis) -> Fleet {
    let own = Entry::from("e-0");
    let mut fleet = Fleet::new(own, DataCentre::from("dub-a"), Millis(300));
    for at in 1..entries {
        fleet.record_contact(member(at, incarnation), now);
    }
    fleet
}

fn member(at: u32, incarnation: u64) -> Member {
    Member {
        name: Entry::from(format!("e-{at}")),
        incarnation: Incarnation(incarnation),
        peer: ([127, 0, 0, 1], 1).into(),
        front: ([127, 0, 0, 1], 2).into(),
        data_centre: DataCentre::from("dub-a"),
        stopping: false,
        ready: true,
        reaches_platform: true,
        reaches_endpoints: true,
    }
}
