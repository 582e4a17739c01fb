//! Arrays of bulk strings in RESP, and the lists of fields within them.

use std::io::Write;
use thiserror::Error;

/// Parts of the longest array.
const MAX_PARTS: usize = 8;
/// Bytes of the longest part.
const MAX_PART_BYTES: usize = 64 * 1024;
/// Digits of the longest length.
const MAX_LENGTH_DIGITS: usize = 7;

/// Why bytes are no RESP array.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum RespError {
    #[error("array of {0} parts")]
    TooManyParts(usize),
    #[error("part of {0} bytes")]
    PartTooLong(usize),
    #[error("part without its terminator")]
    UnterminatedPart,
    #[error("byte {found} in place of `{expected}`")]
    UnexpectedByte { found: u8, expected: char },
    #[error("length without its terminator")]
    UnterminatedLength,
    #[error("length that is not a number")]
    MalformedLength,
}

/// A decoded array.
#[derive(Debug, PartialEq, Eq)]
pub struct Array<'a> {
    pub parts: Vec<&'a [u8]>,
    /// Bytes of the encoded array.
    pub length: usize,
}

/// Decodes the first array in `bytes`; `None` until it is complete.
pub fn parse_array(bytes: &[u8]) -> Result<Option<Array<'_>>, RespError> {
    let Some(header) = parse_length(bytes, b'*')? else { return Ok(None) };
    if header.value > MAX_PARTS {
        return Err(RespError::TooManyParts(header.value));
    }
    let mut length = header.encoded_bytes;
    let mut parts = Vec::with_capacity(header.value);
    for _ in 0..header.value {
        let Some((part, encoded_bytes)) = parse_part(&bytes[length..])? else { return Ok(None) };
        parts.push(part);
        length += encoded_bytes;
    }
    Ok(Some(Array { parts, length }))
}

/// Decodes the bulk string at the front of `bytes`, and returns it with its encoded length.
fn parse_part(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, RespError> {
    let Some(Length { value, encoded_bytes }) = parse_length(bytes, b'$')? else { return Ok(None) };
    if value > MAX_PART_BYTES {
        return Err(RespError::PartTooLong(value));
    }
    let end = encoded_bytes + value + 2;
    let Some(part) = bytes.get(encoded_bytes..end) else { return Ok(None) };
    if &part[value..] != b"\r\n" {
        return Err(RespError::UnterminatedPart);
    }
    Ok(Some((&part[..value], end)))
}

/// A length with its type byte and terminator.
struct Length {
    value: usize,
    encoded_bytes: usize,
}

fn parse_length(bytes: &[u8], expected: u8) -> Result<Option<Length>, RespError> {
    let Some(first) = bytes.first() else { return Ok(None) };
    if *first != expected {
        return Err(RespError::UnexpectedByte { found: *first, expected: char::from(expected) });
    }
    let line = &bytes[1..bytes.len().min(MAX_LENGTH_DIGITS + 3)];
    let Some(end) = line.iter().position(|byte| *byte == b'\n') else {
        let may_be_complete_later = line.len() < MAX_LENGTH_DIGITS + 2;
        return if may_be_complete_later { Ok(None) } else { Err(RespError::UnterminatedLength) };
    };
    let digits = line[..end].strip_suffix(b"\r");
    let digits = digits.filter(|digits| !digits.is_empty() && digits.iter().all(u8::is_ascii_digit));
    let value = digits.and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok());
    let value = value.ok_or(RespError::MalformedLength)?;
    Ok(Some(Length { value, encoded_bytes: end + 2 }))
}

/// Whether a page is made of complete rows of text in three columns, as every page of a result must be.
pub fn holds_rows(page: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(page) else { return false };
    let columns = |row: &str| row.matches('\t').count() == 2;
    text.is_empty() || text.strip_suffix('\n').is_some_and(|rows| rows.split('\n').all(columns))
}

/// Encodes an array.
pub fn encode_array(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    write!(bytes, "*{}\r\n", parts.len()).expect("writing to memory never fails");
    for part in parts {
        write!(bytes, "${}\r\n", part.len()).expect("writing to memory never fails");
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// The value of a field in a list such as `name=value,name=value`. The separators are that between fields and that
/// between a name and its value.
pub fn field<'a>(fields: &'a str, name: &str, separators: (char, char)) -> Option<&'a str> {
    let (field_separator, value_separator) = separators;
    let mut pairs = fields.split(field_separator).filter_map(|field| field.split_once(value_separator));
    pairs.find(|(field, _)| *field == name).map(|(_, value)| value)
}
