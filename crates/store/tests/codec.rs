//! Encoding and decoding of bodies, each of which is exactly one value.

use lichencrank_store::codec::{decode, encode, null_is_empty, DecodeError};
use serde::{Deserialize, Serialize};

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Numbers {
    #[serde(default, deserialize_with = "null_is_empty")]
    numbers: Vec<u64>,
}

#[test]
fn an_encoded_value_is_decoded_unchanged() {
    let value = Numbers {
        numbers: vec![0, 1, u64::MAX],
    };
    let decoded: Numbers = decode(&encode(&value)).expect("the same value");
    assert_eq!(decoded, value);
}

#[test]
fn a_body_is_exactly_one_value() {
    let body = encode(&7u64);
    let longer = [&body[..], &[0]].concat();
    let error = decode::<u64>(&longer).expect_err("a byte too many");
    assert!(matches!(error, DecodeError::TrailingBytes), "{error:?}");
    assert_eq!(error.to_string(), "trailing bytes after the CBOR value");
    for (body, description) in [
        (&b""[..], "nothing"),
        (b"\x61", "a truncated text"),
        (b"\xff", "no value"),
        (b"\x61a", "a value of another type"),
    ] {
        let error = decode::<u64>(body).expect_err(description);
        assert!(
            matches!(error, DecodeError::Malformed(_)),
            "{description}: {error:?}"
        );
    }
}

#[test]
fn a_list_may_be_null_or_left_out() {
    #[derive(Serialize)]
    struct Null {
        numbers: Option<u64>,
    }
    #[derive(Serialize)]
    struct LeftOut {}
    for body in [encode(&Null { numbers: None }), encode(&LeftOut {})] {
        let decoded: Numbers = decode(&body).expect("an empty list");
        assert!(decoded.numbers.is_empty(), "{decoded:?} from {body:x?}");
    }
}
