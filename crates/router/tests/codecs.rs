//! Tests of the codecs: the decoded messages do not depend on how the bytes are split, and malformed input is rejected.

use emberflow_peer_protocol::resp::encode_array;
use emberflow_router::field_list::{FieldList, Separators};
use emberflow_router::{discovery, jsonrpc, resp, ring::RingBuffer, statement};
use expect_test::expect;

/// Limit of the size of a part of an array.
const MAX_PART_BYTES: usize = 64 * 1024;

/// Returns the messages that `parse` decodes from the input. Checks that `parse` decodes the same messages from input
/// that arrives in two parts, for every split.
fn decode_with_every_split(input: &[u8], parse: impl Fn(&mut RingBuffer) -> Option<String>) -> String {
    let parse_parts = |first: &[u8], second: &[u8]| {
        let mut buffer = RingBuffer::default();
        let mut lines = Vec::new();
        for part in [first, second] {
            buffer.push(part);
            while let Some(line) = parse(&mut buffer) {
                lines.push(line);
            }
        }
        lines.join("\n")
    };
    let expected = parse_parts(input, b"");
    for at in 0..input.len() {
        assert_eq!(parse_parts(&input[..at], &input[at..]), expected, "split at {at}");
    }
    expected
}

#[test]
fn arrays_are_decoded_once_they_are_complete() {
    let input = [
        encode_array(&[
            b"9b1f",
            b"HIT",
            b"pages=2,cost=812.5,need=96,use=util:0.61;queue:0",
            b"a\tb\tc\n\r\n",
        ]),
        encode_array(&[b"9b1f", b"INFO", b"-", b""]),
    ];
    let parse = |buffer: &mut RingBuffer| {
        let (line, length) = {
            let resp::Array { parts, length } =
                resp::parse_array(buffer.contents(), &[MAX_PART_BYTES; 4]).expect("well formed")?;
            let parts: Vec<_> = parts.iter().map(|part| part.escape_ascii().to_string()).collect();
            (parts.join(" | "), length)
        };
        buffer.consume(length);
        Some(line)
    };
    expect![[r#"
        9b1f | HIT | pages=2,cost=812.5,need=96,use=util:0.61;queue:0 | a\tb\tc\n\r\n
        9b1f | INFO | - | "#]]
    .assert_eq(&decode_with_every_split(&input.concat(), parse));
}

#[test]
fn malformed_arrays_are_rejected_with_their_error() {
    let malformed: [&[u8]; 11] = [
        b"hello",
        b"*x\r\n",
        b"*9\r\n",
        b"*0\r\n",
        b"*2\r\n",
        b"*12345678901\r\n",
        b"*1\r\n+ok\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$9999999\r\n",
        b"*1\r\n$2\r\nabcd",
        b"*\r\n",
    ];
    let errors: String = malformed
        .iter()
        .map(|bytes| {
            format!(
                "{:?}\n",
                resp::parse_array(bytes, &[MAX_PART_BYTES]).map(|_| ()).map_err(|error| error.to_string())
            )
        })
        .collect();
    expect![[r#"
        Err("expected the type byte `*`, found `h`")
        Err("expected digits and CR LF as a length, found `x\\r` before the newline")
        Err("array has 9 parts, expected 1")
        Err("array has 0 parts, expected 1")
        Err("array has 2 parts, expected 1")
        Err("expected at most 7 digits and CR LF as a length, found no newline")
        Err("expected the type byte `$`, found `+`")
        Err("expected digits and CR LF as a length, found `-1\\r` before the newline")
        Err("part has 9999999 bytes, more than the limit of 65536")
        Err("expected CR LF after a part of 2 bytes, found `cd`")
        Err("expected digits and CR LF as a length, found `\\r` before the newline")
    "#]]
    .assert_eq(&errors);
}

/// The separators of the fields of a reply.
const FIELDS: Separators = Separators { field: ',', value: '=' };
/// The separators of the figures of a load report.
const FIGURES: Separators = Separators { field: ';', value: ':' };

#[test]
fn fields_are_found_by_their_exact_name_in_any_order() {
    let fields = FieldList::parse("pages=2,page=1,use=util:0.61;queue:0", FIELDS).expect("well formed");
    let load = FieldList::parse(fields.get("use").unwrap_or("none"), FIGURES).expect("well formed");
    let found = ["page", "pages", "age", "-"].map(|name| fields.get(name));
    let none = ["-", ""].map(|text| FieldList::parse(text, FIELDS).map(|list| list.get("use")));
    expect![[r#"[Some("1"), Some("2"), None, None] Some("0.61") [Ok(None), Ok(None)]"#]]
        .assert_eq(&format!("{found:?} {:?} {none:?}", load.get("util")));
}

#[test]
fn malformed_fields_are_rejected_with_their_error() {
    let malformed =
        ["pages", "=2", "pages=2,", "pages=2,,use=", "pages=2,pages=1", "p\u{1}ges=2", "pages=2\n", "-,-"];
    let errors: String = malformed
        .iter()
        .map(|text| {
            format!("{:?}\n", FieldList::parse(text, FIELDS).map(|_| ()).map_err(|error| error.to_string()))
        })
        .collect();
    expect![[r#"
        Err("expected a name, `=` and a value, found `pages`")
        Err("expected a name, `=` and a value, found `=2`")
        Err("expected a name, `=` and a value, found ``")
        Err("expected a name, `=` and a value, found ``")
        Err("found the field `pages` twice")
        Err("found a control character in the field `p\\u{1}ges=2`")
        Err("found a control character in the field `pages=2\\n`")
        Err("expected a name, `=` and a value, found `-`")
    "#]]
    .assert_eq(&errors);
}

#[test]
fn requests_are_decoded_line_by_line_and_rejected_with_the_standard_codes() {
    let lines = r#"{"jsonrpc":"2.0","id":7,"method":"report","params":{"req":"9b1f03aa5c7e2d41"}}
{"jsonrpc":"2.0","method":"withdraw","params":{"req":"9b1f03aa5c7e2d41"}}
{"jsonrpc":"2.0","id":7,"method
[{"jsonrpc":"2.0","id":1,"method":"status"}]
{"jsonrpc":"1.0","id":3,"method":"status"}
{"jsonrpc":"2.0","id":-3,"method":"status"}
{"jsonrpc":"2.0","id":"a","method":"status"}
{"jsonrpc":"2.0","id":4,"method":5}

"#;
    let parse = |buffer: &mut RingBuffer| {
        let (text, length) = {
            let (line, length) = jsonrpc::split_line(buffer.contents(), 0)?;
            let request = jsonrpc::parse_request(line);
            let request = request.map(|request| (request.id, request.method, request.params));
            let request = request.map_err(|error| (error.id, error.code().number(), error.to_string()));
            (format!("{request:?}"), length)
        };
        buffer.consume(length);
        Some(text)
    };
    expect![[r#"
        Ok((Some(7), "report", Object {"req": String("9b1f03aa5c7e2d41")}))
        Ok((None, "withdraw", Object {"req": String("9b1f03aa5c7e2d41")}))
        Err((None, -32700, "malformed JSON: EOF while parsing a string at line 1 column 31"))
        Err((None, -32600, "a request is one object"))
        Err((Some(3), -32600, "`jsonrpc` is not 2.0"))
        Err((None, -32600, "`id` is not a whole number from 1 up"))
        Err((None, -32600, "`id` is not a whole number from 1 up"))
        Err((Some(4), -32600, "`method` is not text"))
        Err((None, -32700, "malformed JSON: EOF while parsing a value at line 1 column 0"))"#]]
    .assert_eq(&decode_with_every_split(lines.as_bytes(), parse));
}

#[test]
fn endpoint_list_frames_are_decoded_or_rejected() {
    let record =
        [0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x23, 0x82, 1, 2, 3, 0, 4, 0, 0, 15, 160, 0, 0, 0, 0, 0, 0, 1, 0];
    let frame_bytes = |number: u64, kind: u8, payload: &[u8]| {
        let length = 9 + payload.len() as u32;
        [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], payload].concat()
    };
    let parse = |buffer: &mut RingBuffer| {
        let (text, length) = {
            let (frame, length) = discovery::parse_frame(buffer.contents()).expect("well formed")?;
            let endpoints = frame.event.iter().flat_map(|event| &event.endpoints);
            let endpoints: Vec<_> = endpoints
                .map(|endpoint| {
                    format!(
                        "{:08x} {} {:?} {} {} {} {}",
                        endpoint.id,
                        endpoint.address,
                        endpoint.lifecycle,
                        endpoint.location,
                        endpoint.kind,
                        endpoint.cell,
                        endpoint.up_since_ms
                    )
                })
                .collect();
            let update = frame.event.as_ref().map(|event| event.update);
            (format!("{} {update:?} {endpoints:?}", frame.event_number), length)
        };
        buffer.consume(length);
        Some(text)
    };
    let well_formed =
        [frame_bytes(41, 1, &record), frame_bytes(42, 2, &[]), frame_bytes(42, 0, &[])].concat();
    expect![[r#"
        41 Some(FullList) ["00c41f7a 10.1.0.9:9090 Draining 2 3 4 256"]
        42 Some(Changes) []
        42 None []"#]]
    .assert_eq(&decode_with_every_split(&well_formed, parse));
    let mut unknown_state = record;
    unknown_state[10] = 7;
    let malformed = [
        frame_bytes(1, 3, &[]),
        frame_bytes(1, 2, &record[1..]),
        frame_bytes(1, 1, &unknown_state),
        vec![255; 4],
        vec![0; 4],
    ];
    let errors: String = malformed
        .iter()
        .map(|bytes| format!("{:?}\n", discovery::parse_frame(bytes).err().map(|error| error.to_string())))
        .collect();
    expect![[r#"
        Some("frame must be of kind 0 without payload, or of kind 1 or 2 with records of 27 bytes, found kind 3 with 0 bytes")
        Some("frame must be of kind 0 without payload, or of kind 1 or 2 with records of 27 bytes, found kind 2 with 26 bytes")
        Some("endpoint state must be 0 (ready), 1 (draining) or 2 (removed), found 7")
        Some("frame length must be 9 to 1048576 bytes, found 4294967295")
        Some("frame length must be 9 to 1048576 bytes, found 0")
    "#]]
    .assert_eq(&errors);
}

#[test]
fn the_table_group_is_the_number_in_the_schema_name() {
    let statements = [
        "SELECT day, count(*) FROM sales_17.orders WHERE tag = 'x' GROUP BY day",
        "select a.id, 'from lake_0.decoy' as note\n from mart_4.visits a where a.tag = '1'",
        "SELECT id -- was: from mart_1.old\nFROM lake_4.visits",
        "SELECT id /* from mart_1.old /* and mart_2.older */ */ FROM lake_4.visits",
        "merge into mart_5.events d using staging.delta s on d.id = s.id",
        "insert into ops_3.lines select * from staging.lines",
        "WITH w_1 AS (SELECT * FROM \"sales_5\".\"stock\") SELECT id, sum(n) FROM w_1 GROUP BY id",
        "SELECT 'it''s sales_9.orders' FROM `lake_2` . `orders`",
        "COPY staging.delta FROM 'sales_3.csv'",
        "SELECT staging.delta_7.n FROM staging.delta_7",
        "select o_2.id, c_3.id from staging.o o_2, sales_6.c c_3 where o_2.id = c_3.id",
        "select o_2.id from staging.orders o_2",
        "vacuum mart_8.stock",
        "SELECT 1",
        "SELECT 'never closed FROM sales_1.orders",
        "/* never closed FROM sales_1.orders",
        "SELECT * FROM sales_.orders, _4.orders, sales_99999999999999999999.orders",
    ];
    let groups: Vec<_> = statements.iter().map(|text| statement::table_group(text)).collect();
    expect!["[Some(17), Some(4), Some(4), Some(4), Some(5), Some(3), Some(5), Some(2), None, None, Some(6), None, Some(8), None, None, None, None]"]
    .assert_eq(&format!("{groups:?}"));
}
