//! Authenticates datagrams between proxies with a message authentication code under one key of the fleet.
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Bytes that [`seal`] adds: half of an HMAC-SHA-256 (RFC 2104, section 5).
pub const TAG_BYTES: usize = 16;
/// Hashed before every message, so that a code made for another purpose never verifies here.
const DOMAIN: &[u8] = b"threadward-budgets-1";

/// Starts the message authentication code. It covers the recipient, so that a message for another proxy
/// doesn't verify.
fn code(key: &[u8; 32], to: u16, message: &[u8]) -> Option<Hmac<Sha256>> {
    let mut code = Hmac::<Sha256>::new_from_slice(key).ok()?;
    code.update(DOMAIN);
    code.update(&to.to_be_bytes());
    code.update(message);
    Some(code)
}

/// Returns the message followed by its authentication code. `None` cannot occur with a key of 32 bytes.
///
/// ```
/// use threadward_budgets::seal::{open, seal, TAG_BYTES};
///
/// let key = [7; 32];
/// let sealed = seal(&key, 3, b"five").ok_or("no key")?;
/// assert_eq!(sealed.len(), 4 + TAG_BYTES);
/// assert_eq!(open(&key, 3, &sealed), Some(&b"five"[..]));
/// assert_eq!(open(&key, 4, &sealed), None, "meant for another proxy");
/// assert_eq!(open(&[8; 32], 3, &sealed), None, "another key");
/// # Ok::<(), &str>(())
/// ```
pub fn seal(key: &[u8; 32], to: u16, message: &[u8]) -> Option<Vec<u8>> {
    let tag = code(key, to, message)?.finalize().into_bytes();
    Some([message, &tag[..TAG_BYTES]].concat())
}

/// Returns the message without its authentication code, if the code is valid for this recipient and key.
pub fn open<'a>(key: &[u8; 32], me: u16, datagram: &'a [u8]) -> Option<&'a [u8]> {
    let (message, tag) = datagram.split_at_checked(datagram.len().checked_sub(TAG_BYTES)?)?;
    code(key, me, message)?.verify_truncated_left(tag).ok()?;
    Some(message)
}
