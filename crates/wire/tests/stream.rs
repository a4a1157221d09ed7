//! Streams: round trip in any cuts, damage, and recordings played again.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::message::Message;
use woodgap_core::name::Incarnation;
use woodgap_core::revision;
use woodgap_wire::stream::{Acceptor, Decoder, Encoder, FRAME_BYTES, HELLO_BYTES, connect};
use woodgap_wire::{Error, Key};

const OURS: Incarnation = Incarnation(5);
const THEIRS: Incarnation = Incarnation(9);

fn key() -> Key {
    Key::new(&[7; 32])
}

fn message(sequence: u64) -> Message {
    Message::Revision(revision::Message::Want(sequence))
}

fn acceptor(nonce: u8) -> Acceptor {
    Acceptor::new(key(), THEIRS, [nonce; 16])
}

fn hello() -> ([u8; HELLO_BYTES], Encoder) {
    connect(&key(), OURS, THEIRS, &acceptor(1).challenge(), [2; 16]).unwrap()
}

fn stream() -> (Encoder, Decoder) {
    let (hello, encoder) = hello();
    let (_, decoder) = acceptor(1).accept(&hello).unwrap();
    (encoder, decoder)
}

proptest! {
    #[test]
    fn frames_come_whole_whatever_the_cuts(counts in prop::collection::vec(0u64..200, 1..6), piece in 1usize..700) {
        let (mut encoder, mut decoder) = stream();
        let frames: Vec<Vec<Message>> = counts.iter().map(|count| (0..*count).map(message).collect()).collect();
        let mut bytes = Vec::new();
        for frame in &frames {
            bytes.extend(encoder.encode(frame).unwrap());
        }
        let mut read = Vec::new();
        for piece in bytes.chunks(piece) {
            decoder.push(piece);
            while let Some(messages) = decoder.next().unwrap() {
                read.push(messages);
            }
        }
        prop_assert_eq!(read, frames);
    }

    #[test]
    fn any_flipped_bit_is_refused(position: prop::sample::Index) {
        let (mut encoder, mut decoder) = stream();
        let mut bytes = encoder.encode(&[message(1)]).unwrap();
        let bit = position.index(bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        decoder.push(&bytes);
        // A larger length waits for bytes that never come, or is refused.
        prop_assert!(!matches!(decoder.next(), Ok(Some(_))));
    }

    #[test]
    fn any_flipped_bit_of_the_hello_is_refused(position in 0..HELLO_BYTES * 8) {
        let (mut hello, _) = hello();
        hello[position / 8] ^= 1 << (position % 8);
        prop_assert!(acceptor(1).accept(&hello).is_err());
    }

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let (_, mut decoder) = stream();
        decoder.push(&bytes);
        prop_assert!(!matches!(decoder.next(), Ok(Some(_))));
    }
}

#[rstest]
#[case::another_challenge(acceptor(3), Error::Mac)]
#[case::another_fleet(Acceptor::new(Key::new(&[8; 32]), THEIRS, [1; 16]), Error::Mac)]
#[case::a_later_life(Acceptor::new(key(), Incarnation(10), [1; 16]), Error::Destination)]
fn a_hello_is_good_only_where_it_is_meant_for(#[case] acceptor: Acceptor, #[case] error: Error) {
    let (hello, _) = hello();
    assert_eq!(acceptor.accept(&hello).map(|_| ()), Err(error));
}

#[test]
fn a_repeated_frame_is_refused() {
    let (mut encoder, mut decoder) = stream();
    let bytes = encoder.encode(&[message(1)]).unwrap();
    decoder.push(&bytes);
    decoder.push(&bytes);
    assert_eq!(decoder.next(), Ok(Some(vec![message(1)])));
    assert_eq!(decoder.next(), Err(Error::Mac));
}

#[test]
fn an_announced_length_above_the_bound_is_refused() {
    let (_, mut decoder) = stream();
    let length = u32::try_from(FRAME_BYTES + 1).unwrap();
    decoder.push(&length.to_le_bytes());
    assert_eq!(decoder.next(), Err(Error::Long(FRAME_BYTES + 1)));
}
