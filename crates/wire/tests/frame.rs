//! Datagrams: round trip, damage, cuts, repeats, and who they are for.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::message::Message;
use woodgap_core::name::Incarnation;
use woodgap_core::revision;
use woodgap_wire::frame::{ANY, DATAGRAM_BYTES};
use woodgap_wire::window::SPAN;
use woodgap_wire::{Error, Frame, Key, Receiver, Sender, Window};

fn key() -> Key {
    Key::new(&[7; 32])
}

fn message(sequence: u64) -> Message {
    Message::Revision(revision::Message::Want(sequence))
}

fn frame(to: Incarnation, sequence: u64) -> Frame {
    Frame {
        from: Incarnation(5),
        to,
        sequence,
        messages: vec![message(sequence)],
    }
}

proptest! {
    #[test]
    fn what_is_sealed_is_opened(from: u64, to: u64, sequence: u64, numbers in prop::collection::vec(any::<u64>(), 0..40)) {
        let frame = Frame {
            from: Incarnation(from),
            to: Incarnation(to),
            sequence,
            messages: numbers.into_iter().map(message).collect(),
        };
        let bytes = frame.seal(&key()).unwrap();
        prop_assert!(bytes.len() <= DATAGRAM_BYTES);
        prop_assert_eq!(Frame::open(&bytes, &key()), Ok(frame));
    }

    #[test]
    fn any_flipped_bit_is_refused(sequence: u64, position: prop::sample::Index) {
        let mut bytes = frame(Incarnation(9), sequence).seal(&key()).unwrap();
        let bit = position.index(bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert_eq!(Frame::open(&bytes, &key()), Err(Error::Mac));
    }

    #[test]
    fn cut_or_random_bytes_are_refused(mut bytes in prop::collection::vec(any::<u8>(), 0..1500), cut: prop::sample::Index) {
        prop_assert!(Frame::open(&bytes, &key()).is_err());
        bytes = frame(Incarnation(9), 1).seal(&key()).unwrap();
        let length = cut.index(bytes.len());
        prop_assert!(Frame::open(&bytes[..length], &key()).is_err());
    }

    #[test]
    fn the_window_takes_each_number_once(numbers in prop::collection::vec(0..3 * SPAN, 1..400)) {
        let mut window = Window::default();
        let mut taken = std::collections::HashSet::new();
        let mut highest = 0;
        for number in numbers {
            highest = highest.max(number);
            let late = highest + 1 - number > SPAN;
            prop_assert_eq!(window.accept(number), !late && taken.insert(number));
        }
    }

    #[test]
    fn many_messages_fill_datagrams_in_order(count in 0u64..500) {
        let messages: Vec<Message> = (0..count).map(message).collect();
        let parcel = Sender::new(key(), Incarnation(5)).pack(Incarnation(9), &messages).unwrap();
        let mut receiver = Receiver::new(key(), Incarnation(9));
        let opened: Vec<Message> = parcel
            .datagrams
            .iter()
            .flat_map(|bytes| receiver.open(bytes).unwrap().messages)
            .collect();
        prop_assert_eq!(opened, messages);
        prop_assert!(parcel.large.is_empty());
    }
}

#[rstest]
#[case::for_us(frame(Incarnation(9), 1), Ok(()))]
#[case::for_an_earlier_life(frame(Incarnation(8), 1), Err(Error::Destination))]
#[case::no_greeting_for_any_life(frame(ANY, 1), Err(Error::Destination))]
#[case::greeting_for_any_life(Frame { messages: vec![], ..frame(ANY, 1) }, Ok(()))]
#[case::our_own(Frame { from: Incarnation(9), ..frame(Incarnation(9), 1) }, Err(Error::Destination))]
fn a_life_opens_what_is_meant_for_it(#[case] frame: Frame, #[case] expected: Result<(), Error>) {
    let bytes = frame.seal(&key()).unwrap();
    let mut receiver = Receiver::new(key(), Incarnation(9));
    assert_eq!(receiver.open(&bytes).map(|_| ()), expected);
}

#[test]
fn a_repeat_is_refused() {
    let mut receiver = Receiver::new(key(), Incarnation(9));
    let bytes = frame(Incarnation(9), 1).seal(&key()).unwrap();
    assert!(receiver.open(&bytes).is_ok());
    assert_eq!(receiver.open(&bytes), Err(Error::Replay));
}

#[test]
fn another_fleet_is_refused() {
    let bytes = frame(Incarnation(9), 1).seal(&Key::new(&[8; 32])).unwrap();
    assert_eq!(Frame::open(&bytes, &key()), Err(Error::Mac));
}

#[test]
fn a_frame_above_the_bound_is_not_sealed() {
    let mut frame = frame(Incarnation(9), u64::MAX);
    frame.messages = vec![message(u64::MAX); 100];
    assert!(matches!(frame.seal(&key()), Err(Error::Long(_))));
}
