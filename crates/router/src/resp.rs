//! RESP arrays of bulk strings, and the lists of fields that stand in them.

use std::io::Write;

/// Parts that an array may have, and bytes of a part.
const MOST_PARTS: usize = 8;
const MOST_BYTES: usize = 64 * 1024;
/// Digits of a length.
const MOST_DIGITS: usize = 7;

/// The parts of an array, and the bytes that it takes.
type Array<'a> = (Vec<&'a [u8]>, usize);

/// The first whole array in `bytes`; `None` until it has come whole.
pub fn parse_array(bytes: &[u8]) -> Result<Option<Array<'_>>, String> {
    let Some((count, mut at)) = length(bytes, b'*')? else { return Ok(None) };
    if count > MOST_PARTS {
        return Err(format!("an array of {count} parts"));
    }
    let mut parts = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((size, digits)) = length(&bytes[at..], b'$')? else { return Ok(None) };
        if size > MOST_BYTES {
            return Err(format!("a part of {size} bytes"));
        }
        at += digits;
        let Some(part) = bytes.get(at..at + size + 2) else { return Ok(None) };
        if &part[size..] != b"\r\n" {
            return Err("a part without its end".into());
        }
        parts.push(&part[..size]);
        at += size + 2;
    }
    Ok(Some((parts, at)))
}

fn length(bytes: &[u8], mark: u8) -> Result<Option<(usize, usize)>, String> {
    let Some(first) = bytes.first() else { return Ok(None) };
    if *first != mark {
        return Err(format!("byte {first} in place of `{}`", char::from(mark)));
    }
    let line = &bytes[1..bytes.len().min(MOST_DIGITS + 3)];
    let Some(end) = line.iter().position(|b| *b == b'\n') else {
        return if line.len() < MOST_DIGITS + 2 { Ok(None) } else { Err("a length without its end".into()) };
    };
    let digits =
        line[..end].strip_suffix(b"\r").filter(|d| !d.is_empty() && d.iter().all(u8::is_ascii_digit));
    let digits = digits.and_then(|d| std::str::from_utf8(d).ok()?.parse().ok());
    digits.map(|length| Some((length, end + 2))).ok_or_else(|| "a length that is no number".into())
}

/// Whether a page is whole rows of text in three columns: what a result may be made of.
pub fn holds_rows(page: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(page) else { return false };
    let columns = |row: &str| row.matches('\t').count() == 2;
    text.is_empty() || text.strip_suffix('\n').is_some_and(|rows| rows.split('\n').all(columns))
}

pub fn encode_array(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let written = "writing to memory";
    write!(bytes, "*{}\r\n", parts.len()).expect(written);
    for part in parts {
        write!(bytes, "${}\r\n", part.len()).expect(written);
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// The value of a field in `name=value,name=value`, or in `name:value;name:value` with the other marks.
pub fn field<'a>(fields: &'a str, name: &str, (between, is): (char, char)) -> Option<&'a str> {
    fields.split(between).find_map(|field| field.split_once(is).filter(|(n, _)| *n == name)).map(|(_, v)| v)
}
