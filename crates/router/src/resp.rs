//! The encoding of messages between the router and engines: RESP arrays of bulk strings (called parts here).

use std::io::Write;
use thiserror::Error;

/// First byte of an array.
const ARRAY_TYPE: u8 = b'*';
/// First byte of a part.
const PART_TYPE: u8 = b'$';
/// Limit of the number of digits of a length.
const MAX_LENGTH_DIGITS: usize = 7;
/// Largest number of bytes of an encoded length, with its type byte and terminator.
const MAX_ENCODED_LENGTH_BYTES: usize = 1 + MAX_LENGTH_DIGITS + TERMINATOR.len();
/// The bytes after each length and each part.
const TERMINATOR: &[u8] = b"\r\n";
/// Number of tabs in each row of a result. Tabs separate the three columns.
const TABS_PER_ROW: usize = 2;

/// An error in the encoding of a RESP array. The texts are logged, and are not sent to a peer.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum RespError {
    /// The array announces a wrong number of parts.
    #[error("array has {found} parts, expected {expected}")]
    PartCount {
        /// The number that the array announces.
        found: usize,
        /// The number that the protocol requires.
        expected: usize,
    },
    /// A part announces a length that exceeds its limit.
    #[error("part has {length} bytes, more than the limit of {limit}")]
    PartTooLong {
        /// The announced number of bytes.
        length: usize,
        /// The largest number of bytes of the part.
        limit: usize,
    },
    /// The announced number of bytes of a part is followed by these bytes.
    #[error("expected CR LF after a part of {length} bytes, found `{}`", .found.escape_ascii())]
    UnterminatedPart {
        /// The announced number of bytes.
        length: usize,
        /// The bytes in place of CR LF.
        found: [u8; TERMINATOR.len()],
    },
    /// An array or a part begins with the wrong type byte.
    #[error("expected the type byte `{expected}`, found `{}`", .found.escape_ascii())]
    UnexpectedByte {
        /// The byte that was received.
        found: u8,
        /// The type byte that the protocol requires.
        expected: char,
    },
    /// No newline follows within the number of bytes that a length and its terminator can have.
    #[error("expected at most {max} digits and CR LF as a length, found no newline", max = MAX_LENGTH_DIGITS)]
    UnterminatedLength,
    /// A length is not made of decimal digits and CR LF. The bytes are those before the newline.
    #[error("expected digits and CR LF as a length, found `{}` before the newline", .0.escape_ascii())]
    MalformedLength(Vec<u8>),
}

/// A decoded array of `N` bulk strings.
#[derive(Debug, PartialEq, Eq)]
pub struct Array<'a, const N: usize> {
    /// The contents of the bulk strings, in order.
    pub parts: [&'a [u8]; N],
    /// Length of the encoded array in bytes.
    pub length: usize,
}

/// Returns the largest number of bytes of an encoded array whose parts are within these limits.
pub const fn max_array_bytes<const N: usize>(max_part_bytes: &[usize; N]) -> usize {
    let mut bytes = MAX_ENCODED_LENGTH_BYTES;
    let mut index = 0;
    while index < N {
        bytes += MAX_ENCODED_LENGTH_BYTES + max_part_bytes[index] + TERMINATOR.len();
        index += 1;
    }
    bytes
}

/// Decodes the first array in `bytes`, which must have exactly `N` parts of at most `max_part_bytes`. Returns `None`
/// until the array is complete.
///
/// # Errors
/// Fails if the bytes are not the beginning of an array of `N` parts. A part that exceeds its limit is an error as soon
/// as its length has arrived, so that the caller never stores more than [`max_array_bytes`] for one array.
pub fn parse_array<'a, const N: usize>(
    bytes: &'a [u8],
    max_part_bytes: &[usize; N],
) -> Result<Option<Array<'a, N>>, RespError> {
    let Some(header) = parse_length(bytes, ARRAY_TYPE)? else { return Ok(None) };
    if header.value != N {
        return Err(RespError::PartCount { found: header.value, expected: N });
    }
    let mut length = header.encoded_bytes;
    let mut parts = [[].as_slice(); N];
    for (part, limit) in parts.iter_mut().zip(max_part_bytes) {
        let Some((content, encoded_bytes)) = parse_part(&bytes[length..], *limit)? else { return Ok(None) };
        *part = content;
        length += encoded_bytes;
    }
    Ok(Some(Array { parts, length }))
}

/// Decodes the part at the front of `bytes`, and returns its content with its encoded length in bytes. Returns `None`
/// until the part is complete.
fn parse_part(bytes: &[u8], limit: usize) -> Result<Option<(&[u8], usize)>, RespError> {
    let Some(Length { value, encoded_bytes }) = parse_length(bytes, PART_TYPE)? else { return Ok(None) };
    if value > limit {
        return Err(RespError::PartTooLong { length: value, limit });
    }
    let end = encoded_bytes + value + TERMINATOR.len();
    let Some(part) = bytes.get(encoded_bytes..end) else { return Ok(None) };
    let terminator = [part[value], part[value + 1]];
    if terminator != TERMINATOR {
        return Err(RespError::UnterminatedPart { length: value, found: terminator });
    }
    Ok(Some((&part[..value], end)))
}

/// A decoded length.
struct Length {
    value: usize,
    /// Number of bytes of the encoded length, with its type byte and terminator.
    encoded_bytes: usize,
}

/// Decodes the length at the front of `bytes`, which must begin with the type byte `expected`. Returns `None` until the
/// length is complete.
fn parse_length(bytes: &[u8], expected: u8) -> Result<Option<Length>, RespError> {
    let Some(first) = bytes.first() else { return Ok(None) };
    if *first != expected {
        return Err(RespError::UnexpectedByte { found: *first, expected: char::from(expected) });
    }
    let after_type = &bytes[1..];
    let max_line_bytes = MAX_LENGTH_DIGITS + TERMINATOR.len();
    let line = &after_type[..after_type.len().min(max_line_bytes)];
    let Some(newline) = line.iter().position(|byte| *byte == b'\n') else {
        let may_be_incomplete = line.len() < max_line_bytes;
        return if may_be_incomplete { Ok(None) } else { Err(RespError::UnterminatedLength) };
    };
    let malformed = || RespError::MalformedLength(line[..newline].to_vec());
    let digits = line[..newline].strip_suffix(b"\r").ok_or_else(malformed)?;
    let value = parse_digits(digits).ok_or_else(malformed)?;
    let line_bytes = newline + 1;
    Ok(Some(Length { value, encoded_bytes: 1 + line_bytes }))
}

/// Decodes an unsigned decimal number.
fn parse_digits(digits: &[u8]) -> Option<usize> {
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Whether a page is UTF-8 text in complete rows of three columns, as every page of a result must be.
pub fn has_complete_rows(page: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(page) else { return false };
    let has_all_columns = |row: &str| row.matches('\t').count() == TABS_PER_ROW;
    text.is_empty() || text.strip_suffix('\n').is_some_and(|rows| rows.split('\n').all(has_all_columns))
}

/// Encodes an array of bulk strings.
pub fn encode_array(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    write!(bytes, "*{}\r\n", parts.len()).expect("writing to a Vec never fails");
    for part in parts {
        write!(bytes, "${}\r\n", part.len()).expect("writing to a Vec never fails");
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(TERMINATOR);
    }
    bytes
}
