//! The wire format of frames: every encoded frame is decoded as it was, and anything else is rejected.
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use threadward_budgets::wire::{self, Author, Body};
use threadward_control::frame::{Frame, FRAME_KIND, HEADER_BYTES, MAX_FRAME_BYTES, MAX_HOPS};
use threadward_control::Level;

const LEVELS: [Level; 3] = [Level::Site, Level::Region, Level::Fleet];

#[test]
fn a_frame_is_decoded_as_it_was_encoded() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..5_000 {
        let mut message = vec![0; 1 + rng.next_u32() as usize % wire::MAX_MESSAGE_BYTES];
        rng.fill_bytes(&mut message);
        let frame = Frame {
            level: LEVELS[rng.next_u32() as usize % 3],
            group: rng.next_u32() as u16,
            seat: rng.next_u32() as u16,
            hops: (rng.next_u32() % u32::from(MAX_HOPS + 1)) as u8,
            origin: rng.next_u32() as u16,
            message: &message,
        };
        let bytes = frame.encode();
        assert!(bytes.len() == HEADER_BYTES + message.len() && bytes.len() <= MAX_FRAME_BYTES);
        assert_eq!(Frame::decode(&bytes), Some(frame));
    }
}

/// Guards against a truncated datagram that passes as another message of the group.
#[test]
fn a_truncated_frame_contains_no_valid_message() {
    let wants = Body::LeaseRequest { request_id: 1, held_request: 0, demands: vec![5; 8] };
    let message = wire::write(Author { index: 1, incarnation: 7 }, &wants);
    let frame = Frame { level: Level::Fleet, group: 0, seat: 3, hops: 1, origin: 9, message: &message };
    let bytes = frame.encode();
    for cut in 0..bytes.len() {
        let read = Frame::decode(&bytes[..cut]);
        assert_eq!(read.is_some(), cut > HEADER_BYTES, "{cut} bytes");
        // A message cut after whole amounts is a valid message for fewer budgets. The group that receives it
        // rejects the number of amounts.
        let whole_amounts = cut > HEADER_BYTES + 19 && (cut - HEADER_BYTES - 19).is_multiple_of(4);
        assert_eq!(read.and_then(|frame| wire::read(frame.message)).is_some(), whole_amounts, "{cut} bytes");
    }
}

/// Guards against frames that name a level that does not exist, were forwarded too often or are too long, and
/// against bytes that are decoded as a frame whose encoding differs from them.
#[test]
fn fields_out_of_bounds_are_rejected() {
    let frame = Frame { level: Level::Site, group: 0, seat: 0, hops: 0, origin: 0, message: &[6; 11] };
    let good = frame.encode();
    assert!(Frame::decode(&good).is_some());
    let with = |at: usize, value: u8| {
        let mut bytes = good.clone();
        bytes[at] = value;
        bytes
    };
    assert_eq!(Frame::decode(&with(0, FRAME_KIND + 1)), None, "another kind");
    assert_eq!(Frame::decode(&with(1, 3)), None, "no such level");
    assert_eq!(Frame::decode(&with(6, MAX_HOPS + 1)), None, "forwarded too often");
    assert_eq!(Frame::decode(&[&good[..], &[0; wire::MAX_MESSAGE_BYTES]].concat()), None, "too long");
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    for _ in 0..20_000 {
        let mut bytes = vec![0; rng.next_u32() as usize % 100];
        rng.fill_bytes(&mut bytes);
        if let Some(frame) = Frame::decode(&bytes) {
            assert_eq!(frame.encode(), bytes);
        }
    }
}
