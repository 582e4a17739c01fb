//! The group of tables of a statement: the number behind the underscore in the name of its schema.

/// Words that the name of a table stands behind.
const TABLE_FOLLOWS: [&[u8]; 8] =
    [b"from", b"join", b"into", b"update", b"using", b"table", b"only", b"copy"];
/// Words that begin a part of a statement, of those that hold commas.
const BEGINS: [&[u8]; 8] = [b"select", b"from", b"where", b"group", b"order", b"set", b"values", b"on"];

/// Reads the first schema with a number whose table stands where a table is named; other names with a dot,
/// such as an alias's columns, count only where no table is named in a known way. Text in quotes that are
/// not a name's, and comments, tell nothing, and neither does a schema without a number, such as `staging`.
pub fn table_group(statement: &str) -> Option<u64> {
    let mut rest = statement.as_bytes();
    // The first name of a chain with dots, and whether a table is due where it stands.
    let mut name: Option<(&[u8], bool)> = None;
    let (mut dotted, mut due, mut listing) = (false, false, false);
    let (mut tables, mut other) = (false, None);
    while let Some(first) = rest.first() {
        let length = match first {
            b'\'' => quoted(rest, b'\''),
            b'-' if rest.starts_with(b"--") => rest.iter().position(|b| *b == b'\n').unwrap_or(rest.len()),
            b'/' if rest.starts_with(b"/*") => comment(rest),
            b'"' | b'`' => quoted(rest, *first),
            b if named(*b) => rest.iter().position(|b| !named(*b)).unwrap_or(rest.len()),
            _ => 1,
        };
        let (token, after) = rest.split_at(length);
        rest = after;
        match first {
            b'.' => {
                if let Some((schema, placed)) = name.take() {
                    match number(schema) {
                        Some(group) if placed => return Some(group),
                        group => other = other.or(group),
                    }
                    tables |= placed;
                }
                dotted = true;
            }
            b if b.is_ascii_whitespace() => {}
            b'-' | b'/' if length > 1 => {}
            b'"' | b'`' => {
                let inner = token.get(1..length.saturating_sub(1)).unwrap_or_default();
                name = (!std::mem::take(&mut dotted)).then_some((inner, std::mem::take(&mut due)));
            }
            b if named(*b) => {
                let among = |words: &[&[u8]]| words.iter().any(|word| token.eq_ignore_ascii_case(word));
                name = (!std::mem::take(&mut dotted)).then_some((token, std::mem::take(&mut due)));
                due = among(&TABLE_FOLLOWS);
                if among(&BEGINS) {
                    listing = token.eq_ignore_ascii_case(b"from");
                }
            }
            _ => (name, dotted, due) = (None, false, *first == b',' && listing),
        }
    }
    other.filter(|_| !tables)
}

fn named(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || byte >= 0x80
}

/// The length of a text in quotes, in which a doubled quote stands for one.
fn quoted(bytes: &[u8], quote: u8) -> usize {
    let mut at = 1;
    while at < bytes.len() {
        match (bytes[at] == quote, bytes.get(at + 1) == Some(&quote)) {
            (true, true) => at += 2,
            (true, false) => return at + 1,
            _ => at += 1,
        }
    }
    bytes.len()
}

/// The length of a comment, which may hold others.
fn comment(bytes: &[u8]) -> usize {
    let (mut depth, mut at) = (0, 0);
    while at < bytes.len() {
        match bytes.get(at..at + 2) {
            Some(b"/*") => (depth, at) = (depth + 1, at + 2),
            Some(b"*/") if depth == 1 => return at + 2,
            Some(b"*/") => (depth, at) = (depth - 1, at + 2),
            _ => at += 1,
        }
    }
    bytes.len()
}

fn number(schema: &[u8]) -> Option<u64> {
    let (name, digits) = std::str::from_utf8(schema).ok()?.rsplit_once('_')?;
    let plain = !name.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    digits.parse().ok().filter(|_| plain)
}
