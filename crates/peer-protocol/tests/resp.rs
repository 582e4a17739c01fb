//! RESP arrays, complete, incomplete and malformed.

use emberflow_peer_protocol::resp::{RespError, decode_array, encode_array, take_array};

#[test]
fn an_array_is_decoded_once_its_last_byte_has_arrived() {
    let encoded = encode_array(&[b"GET", b"", "\u{e9}\r\n".as_bytes()]);
    assert_eq!(encoded, "*3\r\n$3\r\nGET\r\n$0\r\n\r\n$4\r\n\u{e9}\r\n\r\n".as_bytes());
    for length in 0..encoded.len() {
        assert_eq!(decode_array(&encoded[..length]), Ok(None), "{length} bytes");
    }
    let mut input = [encoded, encode_array(&[]), b"*1".to_vec()].concat();
    assert_eq!(take_array(&mut input), Ok(Some(vec!["GET".into(), String::new(), "\u{e9}\r\n".into()])));
    assert_eq!(take_array(&mut input), Ok(Some(Vec::new())));
    assert_eq!(take_array(&mut input), Ok(None));
    assert_eq!(input, b"*1");
}

#[test]
fn bytes_that_are_no_array_are_refused() {
    let error = |bytes: &[u8]| decode_array(bytes).expect_err("the bytes are malformed");
    assert_eq!(error(b"$1\r\n"), RespError::UnexpectedByte { found: b'$', expected: '*' });
    assert_eq!(error(b"*1\r\n*"), RespError::UnexpectedByte { found: b'*', expected: '$' });
    assert_eq!(error(b"*9\r\n"), RespError::TooManyParts(9));
    assert_eq!(error(b"*1\r\n$9999999\r\n"), RespError::PartTooLong(9_999_999));
    assert_eq!(error(b"*1\r\n$1\r\nabc"), RespError::UnterminatedPart);
    for malformed in ["*\r\n", "*x\r\n", "*-1\r\n", "*1\n", "*00000001", "*1\rx"] {
        assert_eq!(error(malformed.as_bytes()), RespError::MalformedLength, "{malformed:?}");
    }
}
