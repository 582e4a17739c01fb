//! Encoding and decoding: RESP arrays of bulk strings, base64, JSON-RPC lines, frames of the bulletin.

use std::io::{self, BufRead, Read};

/// Encodes a RESP array of bulk strings.
pub fn resp(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend(format!("${}\r\n", part.len()).into_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Reads one RESP array of bulk strings; `None` at the end of the input.
pub fn read_resp(input: &mut impl BufRead) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(count) = read_length(input, b'*')? else { return Ok(None) };
    let mut parts = Vec::new();
    for _ in 0..count {
        let Some(length) = read_length(input, b'$')? else { return Ok(None) };
        let mut part = vec![0; length + 2];
        input.read_exact(&mut part)?;
        part.truncate(length);
        parts.push(part);
    }
    Ok(Some(parts))
}

fn read_length(input: &mut impl BufRead, kind: u8) -> io::Result<Option<usize>> {
    let mut line = Vec::new();
    if input.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let malformed = || io::Error::new(io::ErrorKind::InvalidData, format!("malformed length {line:?}"));
    if line.first() != Some(&kind) {
        return Err(malformed());
    }
    let text = std::str::from_utf8(&line[1..]).map_err(|_| malformed())?;
    text.trim_end().parse().map(Some).map_err(|_| malformed())
}

/// Returns the value of a field in a list `name=value,name=value`.
pub fn field<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    list.split(',').find_map(|entry| entry.strip_prefix(name)?.strip_prefix('='))
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, at| word << 8 | u32::from(*chunk.get(at).unwrap_or(&0)));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize] as char;
            out.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

/// Decodes base64; `None` if the text is not base64.
pub fn unbase64(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for digit in text.trim_end_matches('=').bytes() {
        let value = DIGITS.iter().position(|known| *known == digit)? as u32;
        word = word << 6 | value;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    Some(out)
}

/// What a router has answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served, with the rows.
    Served(Vec<u8>),
    /// An error with the code -32011: trying again is harmless.
    Refused,
    /// Any other error, with its code.
    Failed(i64),
    /// The answer to `status`.
    Status(bool),
}

/// Decodes an answer and its id. The router's lines hold no nested objects beyond those looked for here.
pub fn decode_answer(line: &str) -> Option<(Option<u64>, Answer)> {
    let id = number_after(line, "\"id\":").map(|id| id as u64);
    if let Some(code) = number_after(line, "\"code\":") {
        return Some((id, if code == -32011 { Answer::Refused } else { Answer::Failed(code) }));
    }
    if line.contains("\"serving\":") {
        return Some((id, Answer::Status(line.contains("\"serving\":true"))));
    }
    let start = line.find("\"data\":\"")? + 8;
    let end = start + line[start..].find('"')?;
    Some((id, Answer::Served(unbase64(&line[start..end])?)))
}

fn number_after(line: &str, name: &str) -> Option<i64> {
    let rest = &line[line.find(name)? + name.len()..];
    let end = rest.find(|byte: char| !byte.is_ascii_digit() && byte != '-').unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// One sql engine in an event of the bulletin. States: 0 ready, 1 draining, 2 gone.
#[derive(Clone)]
pub struct Member {
    pub id: u32,
    pub address: std::net::SocketAddrV4,
    pub state: u8,
    pub zone: u8,
    pub kind: u8,
    pub cell: u16,
    pub started_ms: u64,
}

/// Encodes a frame. Kinds: 0 nothing new, 1 the whole list, 2 changes.
pub fn frame(number: u64, kind: u8, members: &[Member]) -> Vec<u8> {
    let mut payload = number.to_be_bytes().to_vec();
    payload.push(kind);
    for member in members {
        payload.extend(member.id.to_be_bytes());
        payload.extend(member.address.ip().octets());
        payload.extend(member.address.port().to_be_bytes());
        payload.extend([member.state, member.zone, member.kind]);
        payload.extend(member.cell.to_be_bytes());
        payload.extend(1000u32.to_be_bytes());
        payload.extend(member.started_ms.to_be_bytes());
    }
    let mut out = (payload.len() as u32).to_be_bytes().to_vec();
    out.extend(payload);
    out
}

/// Reads exactly 8 bytes, the number with which a router subscribes.
pub fn read_number(input: &mut impl Read) -> io::Result<u64> {
    let mut bytes = [0; 8];
    input.read_exact(&mut bytes)?;
    Ok(u64::from_be_bytes(bytes))
}
