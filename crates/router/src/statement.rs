//! Finds the table group that an SQL statement uses: the number after the last underscore in the name of a table's
//! schema, for example 17 in `sales_17.orders`.

/// Keywords that are followed by the name of a table.
const TABLE_KEYWORDS: [&[u8]; 8] =
    [b"from", b"join", b"into", b"update", b"using", b"table", b"only", b"copy"];
/// Keywords that begin a clause in which commas may separate names.
const CLAUSE_KEYWORDS: [&[u8]; 8] =
    [b"select", b"from", b"where", b"group", b"order", b"set", b"values", b"on"];

const LINE_COMMENT_START: &[u8] = b"--";
const BLOCK_COMMENT_START: &[u8] = b"/*";
const BLOCK_COMMENT_END: &[u8] = b"*/";

/// Returns the group of the first table whose schema has a number; `None` if there is none. Schemas without a number,
/// such as `staging`, comments and string literals are skipped. Other names with a dot, such as the columns of an
/// alias, are used only if the statement has no table with a schema after a keyword or in the list of a `FROM` clause.
pub fn table_group(statement: &str) -> Option<u64> {
    let mut scanner = Scanner::default();
    let mut rest = statement.as_bytes();
    while !rest.is_empty() {
        let (token, after) = split_token(rest);
        rest = after;
        if let Some(group) = scanner.accept(token) {
            return Some(group);
        }
    }
    scanner.group_of_other_name()
}

/// A token of a statement.
enum Token<'a> {
    /// White space, or a comment.
    Blank,
    Dot,
    Word(&'a [u8]),
    /// A quoted name, without its quotes.
    QuotedName(&'a [u8]),
    /// The opening quote of a string literal, which is skipped, or any other byte.
    Other(u8),
}

/// The first part of a qualified name such as `schema.table.column`.
struct FirstName<'a> {
    text: &'a [u8],
    /// Whether the name is at a position where a statement names a table.
    is_table: bool,
}

/// The state of the scan after each token of a statement.
#[derive(Default)]
struct Scanner<'a> {
    /// The last name, if a dot may follow and make it the first part of a qualified name.
    first_name: Option<FirstName<'a>>,
    /// Whether the next name follows a dot.
    follows_dot: bool,
    /// Whether the next name is that of a table.
    expects_table: bool,
    /// Whether the scan is in a `FROM` clause, in which a table follows each comma.
    in_from_clause: bool,
    /// Whether a table was found whose name has a schema without a number.
    has_qualified_table: bool,
    /// The first number in a qualified name that is not at a position where a statement names a table.
    fallback_group: Option<u64>,
}

impl<'a> Scanner<'a> {
    /// Handles the next token. Returns the group if the token completes the name of a schema with a group.
    fn accept(&mut self, token: Token<'a>) -> Option<u64> {
        match token {
            Token::Blank => {}
            Token::Dot => return self.accept_dot(),
            Token::QuotedName(name) => self.accept_name(name),
            Token::Word(word) => self.accept_word(word),
            Token::Other(byte) => {
                self.first_name = None;
                self.follows_dot = false;
                self.expects_table = byte == b',' && self.in_from_clause;
            }
        }
        None
    }

    /// Handles a dot: the name before it is a schema or an alias.
    fn accept_dot(&mut self) -> Option<u64> {
        self.follows_dot = true;
        let name = self.first_name.take()?;
        let group = schema_number(name.text);
        if name.is_table && group.is_some() {
            return group;
        }
        self.fallback_group = self.fallback_group.or(group);
        self.has_qualified_table |= name.is_table;
        None
    }

    /// Handles a name, quoted or not.
    fn accept_name(&mut self, name: &'a [u8]) {
        let follows_dot = std::mem::take(&mut self.follows_dot);
        let is_table = std::mem::take(&mut self.expects_table);
        let name = FirstName { text: name, is_table };
        self.first_name = (!follows_dot).then_some(name);
    }

    /// Handles a word that is not quoted: a name or a keyword.
    fn accept_word(&mut self, word: &'a [u8]) {
        self.accept_name(word);
        let is_among = |keywords: &[&[u8]]| keywords.iter().any(|keyword| word.eq_ignore_ascii_case(keyword));
        self.expects_table = is_among(&TABLE_KEYWORDS);
        if is_among(&CLAUSE_KEYWORDS) {
            self.in_from_clause = word.eq_ignore_ascii_case(b"from");
        }
    }

    /// Returns the group of a statement in which no table has a schema.
    fn group_of_other_name(&self) -> Option<u64> {
        self.fallback_group.filter(|_| !self.has_qualified_table)
    }
}

/// Splits the first token off `bytes`, which must not be empty.
fn split_token(bytes: &[u8]) -> (Token<'_>, &[u8]) {
    let first = bytes[0];
    let is_line_comment = bytes.starts_with(LINE_COMMENT_START);
    let is_block_comment = bytes.starts_with(BLOCK_COMMENT_START);
    let length = match first {
        _ if is_line_comment => length_before(bytes, |byte| byte == b'\n'),
        _ if is_block_comment => block_comment_length(bytes),
        b'\'' | b'"' | b'`' => quoted_length(bytes, first),
        _ if is_name_byte(first) => length_before(bytes, |byte| !is_name_byte(byte)),
        _ => 1,
    };
    let (text, rest) = bytes.split_at(length);
    let token = match first {
        _ if is_line_comment || is_block_comment => Token::Blank,
        _ if first.is_ascii_whitespace() => Token::Blank,
        b'.' => Token::Dot,
        b'"' | b'`' => Token::QuotedName(text.get(1..length.saturating_sub(1)).unwrap_or_default()),
        _ if is_name_byte(first) => Token::Word(text),
        _ => Token::Other(first),
    };
    (token, rest)
}

/// Returns the number of bytes before the first byte that satisfies `is_end`, or the length of `bytes`.
fn length_before(bytes: &[u8], is_end: impl Fn(u8) -> bool) -> usize {
    bytes.iter().position(|byte| is_end(*byte)).unwrap_or(bytes.len())
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || byte >= 0x80
}

/// Returns the length of the quoted text at the front of `bytes`, with its quotes. A doubled quote in the text is an
/// escaped quote. The text extends to the end of `bytes` if it has no closing quote.
fn quoted_length(bytes: &[u8], quote: u8) -> usize {
    let escaped_quote = [quote, quote];
    let mut at = 1;
    while at < bytes.len() {
        if bytes[at..].starts_with(&escaped_quote) {
            at += escaped_quote.len();
        } else if bytes[at] == quote {
            return at + 1;
        } else {
            at += 1;
        }
    }
    bytes.len()
}

/// Returns the length of the block comment at the front of `bytes`. Comments may be nested. The comment extends to the
/// end of `bytes` if it is not closed.
fn block_comment_length(bytes: &[u8]) -> usize {
    let mut depth = 0;
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at..].starts_with(BLOCK_COMMENT_START) {
            depth += 1;
            at += BLOCK_COMMENT_START.len();
        } else if bytes[at..].starts_with(BLOCK_COMMENT_END) {
            depth -= 1;
            at += BLOCK_COMMENT_END.len();
            if depth == 0 {
                return at;
            }
        } else {
            at += 1;
        }
    }
    bytes.len()
}

/// Returns the number after the last underscore in the name of a schema; `None` if the name has no such number.
fn schema_number(schema: &[u8]) -> Option<u64> {
    let (name, digits) = std::str::from_utf8(schema).ok()?.rsplit_once('_')?;
    let is_number = digits.bytes().all(|byte| byte.is_ascii_digit());
    if name.is_empty() || !is_number {
        return None;
    }
    digits.parse().ok()
}
