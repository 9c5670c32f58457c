//! The envelope of a message between processes of the tree. It names the group and seat that the message is
//! for and the process that sent it. A message in the format of [`threadward_budgets::wire`] follows
//! unchanged.
use crate::topology::Level;
use threadward_budgets::wire;

/// The first byte of every frame. Messages of budgets without a tree begin with 1 to 7, those of zones with
/// 32 to 39.
pub const FRAME_KIND: u8 = 8;
/// The number of bytes before the group's message.
pub const HEADER_BYTES: usize = 9;
/// The length of the longest frame, without its authentication code.
pub const MAX_FRAME_BYTES: usize = HEADER_BYTES + wire::MAX_MESSAGE_BYTES;
/// How often a frame may be forwarded.
pub const MAX_HOPS: u8 = 3;

/// A message of a group, addressed to the process that represents a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The level of the group.
    pub level: Level,
    /// The index of the group at its level.
    pub group: u16,
    /// The addressed seat.
    pub seat: u16,
    /// How often it was forwarded.
    pub hops: u8,
    /// The index of the process that first sent it. Answers go there.
    pub origin: u16,
    /// The group's message.
    pub message: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Encodes this frame.
    ///
    /// ```
    /// use threadward_control::frame::Frame;
    /// use threadward_control::Level;
    ///
    /// let frame = Frame { level: Level::Region, group: 4, seat: 7, hops: 0, origin: 99, message: &[6; 11] };
    /// let bytes = frame.encode();
    /// assert_eq!(bytes.len(), 20);
    /// assert_eq!(Frame::decode(&bytes), Some(frame));
    /// assert_eq!(Frame::decode(&bytes[..9]), None, "no message in it");
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.message.len());
        bytes.push(FRAME_KIND);
        bytes.push(level_code(self.level));
        bytes.extend(self.group.to_be_bytes());
        bytes.extend(self.seat.to_be_bytes());
        bytes.push(self.hops);
        bytes.extend(self.origin.to_be_bytes());
        bytes.extend_from_slice(self.message);
        bytes
    }

    /// Decodes a frame. Returns `None` if a field is out of bounds or the message is missing or too long.
    pub fn decode(bytes: &'a [u8]) -> Option<Frame<'a>> {
        let (header, message) = bytes.split_first_chunk::<HEADER_BYTES>()?;
        let [kind, level, group_high, group_low, seat_high, seat_low, hops, origin_high, origin_low] =
            *header;
        if kind != FRAME_KIND
            || hops > MAX_HOPS
            || message.is_empty()
            || message.len() > wire::MAX_MESSAGE_BYTES
        {
            return None;
        }
        Some(Frame {
            level: level_of(level)?,
            group: u16::from_be_bytes([group_high, group_low]),
            seat: u16::from_be_bytes([seat_high, seat_low]),
            hops,
            origin: u16::from_be_bytes([origin_high, origin_low]),
            message,
        })
    }
}

fn level_code(level: Level) -> u8 {
    match level {
        Level::Site => 0,
        Level::Region => 1,
        Level::Fleet => 2,
    }
}

fn level_of(code: u8) -> Option<Level> {
    match code {
        0 => Some(Level::Site),
        1 => Some(Level::Region),
        2 => Some(Level::Fleet),
        _ => None,
    }
}
