//! RESP arrays of bulk strings, the format of the messages between routers and engines.

use std::io::Write;

/// Maximum number of parts of an array.
const MAX_PARTS: usize = 8;
/// Maximum length of a part, in bytes.
const MAX_PART_BYTES: usize = 1 << 20;
/// Maximum number of digits of a length.
const MAX_LENGTH_DIGITS: usize = 7;
const TERMINATOR: &[u8] = b"\r\n";

/// Why bytes are not a RESP array of bulk strings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    /// An array or a bulk string begins with the wrong type byte.
    #[error("unexpected byte {found:#04x}, expected {expected:?}")]
    UnexpectedByte {
        /// The byte in the input.
        found: u8,
        /// The type byte that the protocol requires.
        expected: char,
    },
    /// A length has no digits, too many digits, or no CR LF after its digits.
    #[error("malformed length: expected at most {MAX_LENGTH_DIGITS} digits and CR LF")]
    MalformedLength,
    /// The array announces this number of parts, which exceeds the limit.
    #[error("the array has {0} parts, the limit is {MAX_PARTS}")]
    TooManyParts(usize),
    /// A part announces this number of bytes, which exceeds the limit.
    #[error("the part has {0} bytes, the limit is {MAX_PART_BYTES}")]
    PartTooLong(usize),
    /// The bytes of a part are not followed by CR LF.
    #[error("the part is not followed by CR LF")]
    UnterminatedPart,
}

/// A decoded array.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Array {
    /// The parts as text; bytes that are not UTF-8 are replaced.
    pub parts: Vec<String>,
    /// Length of the encoded array, in bytes.
    pub encoded_length: usize,
}

/// Decodes the array at the front of `bytes`. Returns `None` until the array is complete.
pub fn decode_array(bytes: &[u8]) -> Result<Option<Array>, RespError> {
    let mut decoder = Decoder { bytes, position: 0 };
    let Some(count) = decoder.read_length('*')? else { return Ok(None) };
    if count > MAX_PARTS {
        return Err(RespError::TooManyParts(count));
    }
    let mut parts = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(part) = decoder.read_bulk_string()? else { return Ok(None) };
        parts.push(part);
    }
    Ok(Some(Array { parts, encoded_length: decoder.position }))
}

/// Removes the first array from `input` and returns its parts. Returns `None` and leaves the input unchanged until the
/// array is complete.
pub fn take_array(input: &mut Vec<u8>) -> Result<Option<Vec<String>>, RespError> {
    let Some(array) = decode_array(input)? else { return Ok(None) };
    input.drain(..array.encoded_length);
    Ok(Some(array.parts))
}

/// Encodes an array of bulk strings.
pub fn encode_array(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    write!(bytes, "*{}\r\n", parts.len()).expect("a write to a Vec cannot fail");
    for part in parts {
        write!(bytes, "${}\r\n", part.len()).expect("a write to a Vec cannot fail");
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(TERMINATOR);
    }
    bytes
}

/// Reads the lengths and parts of an array one after another.
struct Decoder<'a> {
    bytes: &'a [u8],
    /// Offset of the next byte to read.
    position: usize,
}

impl Decoder<'_> {
    /// Reads a type byte and the length that follows it. Returns `None` if the length is incomplete.
    fn read_length(&mut self, type_byte: char) -> Result<Option<usize>, RespError> {
        let Some(found) = self.bytes.get(self.position).copied() else { return Ok(None) };
        if char::from(found) != type_byte {
            return Err(RespError::UnexpectedByte { found, expected: type_byte });
        }
        let rest = &self.bytes[self.position + 1..];
        let digit_count = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
        if digit_count > MAX_LENGTH_DIGITS {
            return Err(RespError::MalformedLength);
        }
        let (digits, after_digits) = rest.split_at(digit_count);
        if !after_digits.starts_with(TERMINATOR) {
            let is_incomplete = TERMINATOR.starts_with(after_digits);
            return if is_incomplete { Ok(None) } else { Err(RespError::MalformedLength) };
        }
        let text = std::str::from_utf8(digits).expect("ASCII digits are valid UTF-8");
        let length = text.parse().map_err(|_| RespError::MalformedLength)?;
        self.position += 1 + digit_count + TERMINATOR.len();
        Ok(Some(length))
    }

    /// Reads a bulk string. Returns `None` if it is incomplete.
    fn read_bulk_string(&mut self) -> Result<Option<String>, RespError> {
        let Some(length) = self.read_length('$')? else { return Ok(None) };
        if length > MAX_PART_BYTES {
            return Err(RespError::PartTooLong(length));
        }
        let rest = &self.bytes[self.position..];
        let encoded_length = length + TERMINATOR.len();
        let Some(encoded) = rest.get(..encoded_length) else { return Ok(None) };
        let (part, terminator) = encoded.split_at(length);
        if terminator != TERMINATOR {
            return Err(RespError::UnterminatedPart);
        }
        self.position += encoded_length;
        Ok(Some(String::from_utf8_lossy(part).into_owned()))
    }
}
