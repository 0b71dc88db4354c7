//! Parsing and writing of HTTP messages: valid, incomplete, malformed and random ones.

use lichencrank::transport::http::{
    parse_request, parse_response, write_request, write_response, HttpError, Parsed,
    MAX_BODY_BYTES, MAX_HEADERS, MAX_HEAD_BYTES, MAX_RESPONSE_BODY_BYTES,
};
use lichencrank::transport::{Request, Response};

/// Start line of requests.
const POST: &str = "POST /x HTTP/1.1\r\n";
/// Start line of responses.
const OK: &str = "HTTP/1.1 200 OK\r\n";

fn request(method: &str, body: &str, close: bool) -> Request {
    Request {
        method: method.to_owned(),
        target: "/x".to_owned(),
        body: body.as_bytes().to_vec(),
        close,
    }
}

fn response(status: u16, body: &str) -> Response {
    Response::new(status, body.as_bytes().to_vec())
}

fn complete<T>(message: T, length: usize) -> Result<Parsed<T>, HttpError> {
    Ok(Parsed::Complete { message, length })
}

#[test]
fn a_request_is_complete_at_its_last_byte() {
    let cases = [
        (format!("{POST}\r\n"), request("POST", "", false)),
        (
            format!("{POST}Content-Length: 3\r\n\r\nabc"),
            request("POST", "abc", false),
        ),
        (
            format!("{POST}content-length:3\r\nConnection: Keep-Alive, Close\r\n\r\nabc"),
            request("POST", "abc", true),
        ),
        (
            format!("{POST}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"),
            request("POST", "abc", false),
        ),
        ("GET /x HTTP/1.0\r\n\r\n".into(), request("GET", "", true)),
        (
            "GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n".into(),
            request("GET", "", false),
        ),
    ];
    for (text, expected) in cases {
        let parsed = parse_request(text.as_bytes());
        assert_eq!(parsed, complete(expected.clone(), text.len()), "{text:?}");
        for end in 0..text.len() {
            assert_eq!(
                parse_request(&text.as_bytes()[..end]),
                Ok(Parsed::Partial),
                "{end} bytes of {text:?}"
            );
        }
        let followed = format!("{text}GET /next");
        assert_eq!(
            parse_request(followed.as_bytes()),
            complete(expected, text.len()),
            "{followed:?}"
        );
    }
}

#[test]
fn a_rejected_request_is_answered_with_the_status_of_its_error() {
    let long_head = format!("{POST}X: {}\r\n\r\n", "a".repeat(9000));
    let cases = [
        (
            format!("{POST}Content-Length: -1\r\n\r\n"),
            HttpError::InvalidContentLength,
            400,
        ),
        (
            format!("{POST}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
            HttpError::ConflictingContentLength,
            400,
        ),
        (
            format!("{POST}Content-Length: {}\r\n\r\n", MAX_BODY_BYTES + 1),
            HttpError::BodyTooLarge {
                limit: MAX_BODY_BYTES,
            },
            400,
        ),
        (
            format!("{POST}Content-Length: 99999999999999999999999\r\n\r\n"),
            HttpError::BodyTooLarge {
                limit: MAX_BODY_BYTES,
            },
            400,
        ),
        (
            format!("{POST}Transfer-Encoding: chunked\r\n\r\n"),
            HttpError::TransferEncodingUnsupported,
            411,
        ),
        (
            format!("{POST}Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"),
            HttpError::ExpectUnsupported,
            417,
        ),
        (
            long_head[..MAX_HEAD_BYTES + 1].to_owned(),
            HttpError::HeadTooLarge,
            431,
        ),
        (long_head, HttpError::HeadTooLarge, 431),
        (
            format!("{POST}{}\r\n", "X: a\r\n".repeat(MAX_HEADERS + 1)),
            HttpError::TooManyHeaders,
            431,
        ),
        (
            "\u{1}\u{2}\r\n\r\n".into(),
            HttpError::MalformedHead(httparse::Error::Token),
            400,
        ),
    ];
    for (text, expected, status) in cases {
        assert_eq!(parse_request(text.as_bytes()), Err(expected), "{text:.60?}");
        assert_eq!(expected.status(), status, "{expected}");
    }
    let not_utf8 = [POST.as_bytes(), b"X: \xff\r\n\r\n"].concat();
    assert_eq!(parse_request(&not_utf8), Err(HttpError::HeaderNotUtf8));
    assert_eq!(HttpError::HeaderNotUtf8.status(), 400);
}

#[test]
fn a_response_is_complete_at_its_last_byte() {
    let cases = [
        (
            format!("{OK}Content-Length: 2\r\n\r\nhi"),
            response(200, "hi"),
        ),
        (
            "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 4\r\n\r\n".into(),
            Response::retry_later(503, 4),
        ),
        (
            format!("{OK}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
            response(200, "abcde"),
        ),
        ("HTTP/1.1 204 No Content\r\n\r\n".into(), response(204, "")),
    ];
    for (text, expected) in cases {
        let parsed = parse_response(text.as_bytes(), false);
        assert_eq!(parsed, complete(expected, text.len()), "{text:?}");
        for end in 0..text.len() {
            assert_eq!(
                parse_response(&text.as_bytes()[..end], false),
                Ok(Parsed::Partial),
                "{end} bytes of {text:?}"
            );
        }
    }
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let text = format!("{OK}Connection: close\r\n\r\nhi");
    assert_eq!(parse_response(text.as_bytes(), false), Ok(Parsed::Partial));
    let expected = Response {
        close: true,
        ..response(200, "hi")
    };
    assert_eq!(
        parse_response(text.as_bytes(), true),
        complete(expected, text.len())
    );
}

#[test]
fn a_malformed_or_too_large_response_is_rejected() {
    let too_large = HttpError::BodyTooLarge {
        limit: MAX_RESPONSE_BODY_BYTES,
    };
    let chunked = format!("{OK}Transfer-Encoding: chunked\r\n\r\n");
    let cases = [
        (
            format!("{OK}Content-Length: 99999999999\r\n\r\n"),
            too_large,
        ),
        (format!("{chunked}ffffffffffffffff\r\n"), too_large),
        (format!("{chunked}zz\r\n"), HttpError::MalformedChunkSize),
        (
            format!("{OK}Content-Length: x\r\n\r\n"),
            HttpError::InvalidContentLength,
        ),
        (
            format!("{OK}X: {}", "a".repeat(MAX_HEAD_BYTES)),
            HttpError::HeadTooLarge,
        ),
        (
            "HTTP/9.9 200 OK\r\n\r\n".into(),
            HttpError::MalformedHead(httparse::Error::Version),
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(
            parse_response(text.as_bytes(), false),
            Err(expected),
            "{text:.60?}"
        );
    }
}

#[test]
fn a_written_message_is_parsed_unchanged() {
    let mut bytes = Vec::new();
    write_request(&mut bytes, "127.0.0.1:80", "POST", "/x", b"abc");
    assert_eq!(
        parse_request(&bytes),
        complete(request("POST", "abc", false), bytes.len())
    );
    for close in [false, true] {
        let sent = Response {
            close,
            body: b"abc".to_vec(),
            ..Response::retry_later(429, 7)
        };
        let mut bytes = Vec::new();
        write_response(&mut bytes, &sent, close);
        assert_eq!(parse_response(&bytes, false), complete(sent, bytes.len()));
    }
}

/// Mutated and truncated messages must never make a parser panic. The seed is fixed.
#[test]
fn random_bytes_do_not_make_a_parser_panic() {
    let originals = [
        format!("{POST}Content-Length: 3\r\nConnection: close\r\n\r\nabc"),
        format!("{OK}Content-Length: 3\r\nRetry-After: 4\r\n\r\nabc"),
        format!("{OK}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
        (0..=255).map(char::from).collect(),
    ];
    let mut random = fastrand::Rng::with_seed(7);
    for round in 0..20_000 {
        let mut bytes = originals[round % originals.len()].clone().into_bytes();
        for _ in 0..random.usize(1..6) {
            let index = random.usize(..bytes.len());
            bytes[index] = random.u8(..);
        }
        bytes.truncate(random.usize(..=bytes.len()));
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes, random.bool());
    }
}
