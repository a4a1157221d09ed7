use std::time::Duration;

use rstest::rstest;

use super::*;

const HASTE: Duration = Duration::from_millis(20);
const PATIENCE: Duration = Duration::from_mins(1);

fn request() -> name::Request {
    name::Request {
        incarnation: name::Incarnation(1),
        sequence: 1,
    }
}

fn event(offset: u64) -> Item {
    let data = "x".repeat(100);
    Item::Event { offset, data }
}

/// A recording that holds this many events.
fn tape(events: usize, room: &Arc<Room>) -> Arc<Tape> {
    Arc::new(Tape::new(
        request(),
        Arc::clone(room),
        events * size(&event(1)),
    ))
}

fn room(events: usize) -> Arc<Room> {
    Arc::new(Room::new(events * size(&event(1))))
}

async fn write(tape: &Tape, offsets: impl IntoIterator<Item = u64>) {
    for offset in offsets {
        tape.write(event(offset), HASTE).await;
    }
}

fn attach(tape: &Arc<Tape>) -> Option<Reader> {
    tape.attach()
}

/// Reads to the end; offsets, and how it ended.
async fn read(mut reader: Reader) -> (Vec<u64>, Item) {
    let mut offsets = Vec::new();
    loop {
        match reader.recv().await {
            Item::Event { offset, .. } => offsets.push(offset),
            last => return (offsets, last),
        }
    }
}

#[actix_rt::test]
async fn every_reader_begins_at_the_first_item() {
    let tape = tape(10, &room(10));
    let early = attach(&tape).unwrap();
    write(&tape, 1..=3).await;
    let later = attach(&tape).unwrap();
    write(&tape, 4..=5).await;
    tape.finish(Item::Complete);
    let after = attach(&tape).unwrap();
    for reader in [early, later, after] {
        assert_eq!(read(reader).await, (vec![1, 2, 3, 4, 5], Item::Complete));
    }
}

#[rstest]
#[case::answer_too_large(3, 100)]
#[case::no_room(100, 3)]
#[actix_rt::test]
async fn beyond_its_bounds_a_present_reader_still_gets_everything(
    #[case] most: usize,
    #[case] all: usize,
) {
    let tape = tape(most, &room(all));
    let reader = attach(&tape).unwrap();
    let reading = actix_rt::spawn(read(reader));
    for offset in 1..=100 {
        tape.write(event(offset), PATIENCE).await;
    }
    tape.finish(Item::Complete);
    assert_eq!(
        reading.await.unwrap(),
        ((1..=100).collect(), Item::Complete)
    );
    assert!(attach(&tape).is_none());
    assert!(tape.items().is_none());
}

#[actix_rt::test]
async fn a_reader_that_does_not_read_holds_a_run_up_only_so_long() {
    let tape = tape(3, &room(100));
    let stuck = attach(&tape).unwrap();
    write(&tape, 1..=100).await;
    tape.finish(Item::Complete);
    let (offsets, last) = read(stuck).await;
    assert_eq!(offsets, Vec::<u64>::new());
    assert_eq!(last, Item::Failed(too_slow()));
}

#[actix_rt::test]
async fn without_a_reader_a_run_is_not_held_up() {
    let tape = tape(3, &room(100));
    for offset in 1..=100 {
        tape.write(event(offset), PATIENCE).await;
    }
    tape.finish(Item::Complete);
    assert!(attach(&tape).is_none());
}

#[actix_rt::test]
async fn of_a_failed_answer_the_failure_is_left() {
    let tape = tape(3, &room(100));
    write(&tape, 1..=100).await;
    let failed = Item::Failed(too_slow());
    tape.finish(failed.clone());
    assert_eq!(read(attach(&tape).unwrap()).await, (vec![], failed));
}

#[actix_rt::test]
async fn the_oldest_ended_answer_makes_room() {
    let room = room(4);
    let [old, older, running] = [(); 3].map(|()| tape(10, &room));
    write(&older, [1]).await;
    older.finish(Item::Complete);
    write(&old, [1, 2]).await;
    old.finish(Item::Complete);
    let reader = attach(&old).unwrap();
    write(&running, [1, 2]).await;
    assert!(attach(&older).is_none());
    // One that is read stays.
    write(&running, [3]).await;
    assert_eq!(read(reader).await.0, [1, 2]);
    drop(running);
    assert!(room.take(2 * size(&event(1))));
}

#[actix_rt::test]
async fn it_is_unread_once_the_last_reader_left() {
    let tape = tape(3, &room(3));
    let readers = [attach(&tape), attach(&tape)];
    let unread = tokio::time::timeout(HASTE, tape.unread());
    assert!(unread.await.is_err());
    drop(readers);
    tape.unread().await;
}
