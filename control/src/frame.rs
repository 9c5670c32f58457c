//! The envelope of a message between processes of a tree: which group and seat it is for, and which process sent it. A
//! message of the group's [`threadward_budgets::wire`] follows unchanged.
use crate::topology::Level;
use threadward_budgets::wire;

/// First byte of every frame. Messages of plain budgets begin with 1 to 7, those on zones with 32 to 39.
pub const FRAME_KIND: u8 = 8;
/// Bytes before the group's message.
pub const HEADER_BYTES: usize = 9;
/// The longest frame, without its authentication code.
pub const MAX_FRAME_BYTES: usize = HEADER_BYTES + wire::MAX_MESSAGE_BYTES;
/// Times that a frame may be passed on.
pub const MAX_HOPS: u8 = 3;

/// A message of a group, on its way to whoever speaks for a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Level of the group.
    pub level: Level,
    /// Index of the group at its level.
    pub group: u16,
    /// The seat that is addressed.
    pub seat: u16,
    /// Times that it was passed on.
    pub hops: u8,
    /// Place of the process that sent it first: answers go there.
    pub origin: u16,
    /// The group's message.
    pub message: &'a [u8],
}

impl<'a> Frame<'a> {
    /// The bytes of this frame.
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

    /// Reads a frame; nothing where a field is out of its bounds or the message is missing or too long.
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
