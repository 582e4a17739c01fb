//! Arrays of bulk strings in RESP, in which engines and routers talk.

use std::io::Write;

/// Limit of the parts of an array.
const MAX_PARTS: usize = 8;
/// Limit of the bytes of a part.
const MAX_PART_BYTES: usize = 1 << 20;
/// Limit of the digits of a length.
const MAX_LENGTH_DIGITS: usize = 7;
const TERMINATOR: &[u8] = b"\r\n";

/// Why bytes are not a RESP array of bulk strings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    /// An array or a bulk string begins with the wrong type byte.
    #[error("byte {found:#04x} in place of {expected:?}")]
    UnexpectedByte {
        /// The byte in the input.
        found: u8,
        /// The type byte that the protocol requires.
        expected: char,
    },
    /// A length has no digits, too many digits, or no CR LF after its digits.
    #[error("a length that is not a number of at most {MAX_LENGTH_DIGITS} digits")]
    MalformedLength,
    /// The array announces this number of parts, which exceeds the limit.
    #[error("an array of {0} parts")]
    TooManyParts(usize),
    /// A part announces this number of bytes, which exceeds the limit.
    #[error("a part of {0} bytes")]
    PartTooLong(usize),
    /// The bytes of a part are not followed by CR LF.
    #[error("a part without its terminator")]
    UnterminatedPart,
}

/// A decoded array.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Array {
    /// The parts as text; bytes that are not UTF-8 are replaced.
    pub words: Vec<String>,
    /// Bytes of the encoded array.
    pub encoded_bytes: usize,
}

/// Decodes the array at the front of `bytes`. Returns `None` until the array is complete.
pub fn decode_array(bytes: &[u8]) -> Result<Option<Array>, RespError> {
    let mut decoder = Decoder { bytes, position: 0 };
    let Some(count) = decoder.length('*')? else { return Ok(None) };
    if count > MAX_PARTS {
        return Err(RespError::TooManyParts(count));
    }
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(word) = decoder.bulk_string()? else { return Ok(None) };
        words.push(word);
    }
    Ok(Some(Array { words, encoded_bytes: decoder.position }))
}

/// Removes the first array from `input` and returns its words. Returns `None`, and leaves the input as it is, until the
/// array is complete.
pub fn take_array(input: &mut Vec<u8>) -> Result<Option<Vec<String>>, RespError> {
    let Some(array) = decode_array(input)? else { return Ok(None) };
    input.drain(..array.encoded_bytes);
    Ok(Some(array.words))
}

/// Encodes an array of bulk strings.
pub fn encode_array(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    write!(bytes, "*{}\r\n", parts.len()).expect("writing to memory does not fail");
    for part in parts {
        write!(bytes, "${}\r\n", part.len()).expect("writing to memory does not fail");
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(TERMINATOR);
    }
    bytes
}

/// Reads an array from its front to its end.
struct Decoder<'a> {
    bytes: &'a [u8],
    /// Bytes that were read.
    position: usize,
}

impl Decoder<'_> {
    /// Reads a length behind its type byte. Returns `None` if the length is incomplete.
    fn length(&mut self, type_byte: char) -> Result<Option<usize>, RespError> {
        let Some(found) = self.bytes.get(self.position).copied() else { return Ok(None) };
        if char::from(found) != type_byte {
            return Err(RespError::UnexpectedByte { found, expected: type_byte });
        }
        let rest = &self.bytes[self.position + 1..];
        let digit_count = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
        if digit_count > MAX_LENGTH_DIGITS {
            return Err(RespError::MalformedLength);
        }
        let (digits, behind) = rest.split_at(digit_count);
        if !behind.starts_with(TERMINATOR) {
            let is_incomplete = TERMINATOR.starts_with(behind);
            return if is_incomplete { Ok(None) } else { Err(RespError::MalformedLength) };
        }
        let text = std::str::from_utf8(digits).expect("digits are UTF-8");
        let length = text.parse().map_err(|_| RespError::MalformedLength)?;
        self.position += 1 + digit_count + TERMINATOR.len();
        Ok(Some(length))
    }

    /// Reads a bulk string. Returns `None` if it is incomplete.
    fn bulk_string(&mut self) -> Result<Option<String>, RespError> {
        let Some(length) = self.length('$')? else { return Ok(None) };
        if length > MAX_PART_BYTES {
            return Err(RespError::PartTooLong(length));
        }
        let rest = &self.bytes[self.position..];
        let encoded_bytes = length + TERMINATOR.len();
        let Some(encoded) = rest.get(..encoded_bytes) else { return Ok(None) };
        let (part, terminator) = encoded.split_at(length);
        if terminator != TERMINATOR {
            return Err(RespError::UnterminatedPart);
        }
        self.position += encoded_bytes;
        Ok(Some(String::from_utf8_lossy(part).into_owned()))
    }
}
