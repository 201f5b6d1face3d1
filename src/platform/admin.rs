//! Requests and responses of the admin interface: the part of HTTP/1.1 that its four requests need, with one
//! request per connection.
//!
//! `httparse` does the parsing. What a request does is defined elsewhere.
use super::framing::{Decoded, Decoder};
use std::fmt::Write;

/// Maximum length of a request's head.
pub const MAX_HEAD_BYTES: usize = 4 * 1024;
/// Maximum number of header lines in a request.
const MAX_HEADERS: usize = 32;

/// A request of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Asks whether this process accepts clients.
    Ready,
    /// Asks for the metrics.
    Vars,
    /// Enters the lame-duck state (`true`), in which clients are sent away, or leaves it (`false`).
    LameDuck(bool),
}

/// A request that is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminError {
    /// The request is not HTTP.
    #[error("this is no HTTP call; ask as in GET /_ready HTTP/1.1")]
    Malformed,
    /// The head is too long or has too many header lines.
    #[error("a call's head has {MAX_HEAD_BYTES} bytes at most; leave header lines out")]
    HeadTooLong,
    /// The path is unknown.
    #[error("no such call; there are GET /_ready, GET /_vars, PUT /_lameduck/on, PUT /_lameduck/off")]
    UnknownPath,
    /// The path requires another method.
    #[error("wrong method; /_ready and /_vars are asked with GET, /_lameduck/on and off with PUT")]
    WrongMethod,
}

impl AdminError {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            AdminError::Malformed => 400,
            AdminError::HeadTooLong => 431,
            AdminError::UnknownPath => 404,
            AdminError::WrongMethod => 405,
        }
    }
}

/// Finds the request of a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDecoder;

impl Decoder for RequestDecoder {
    type Message = AdminRequest;
    type Error = AdminError;
    const MAX_INCOMPLETE_BYTES: usize = MAX_HEAD_BYTES;

    fn decode(&mut self, bytes: &[u8]) -> Result<Decoded<AdminRequest>, AdminError> {
        let parsed = parse_request(bytes)?;
        Ok(parsed.map_or(Decoded::Incomplete, |(request, length)| Decoded::Message(request, length)))
    }
}

/// Parses the head of a request. Returns the request and the length of the head in bytes, or `None` if the
/// head is incomplete. A body is not read, since no request has one.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(AdminRequest, usize)>, AdminError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes.get(..MAX_HEAD_BYTES.min(bytes.len())).unwrap_or_default()) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD_BYTES => {
            return Err(AdminError::HeadTooLong);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(AdminError::HeadTooLong),
        Err(_) => return Err(AdminError::Malformed),
    };
    let path = request.path.unwrap_or_default();
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let (expected_method, parsed) = match path {
        "/_ready" => ("GET", AdminRequest::Ready),
        "/_vars" => ("GET", AdminRequest::Vars),
        "/_lameduck/on" => ("PUT", AdminRequest::LameDuck(true)),
        "/_lameduck/off" => ("PUT", AdminRequest::LameDuck(false)),
        _ => return Err(AdminError::UnknownPath),
    };
    if request.method == Some(expected_method) {
        Ok(Some((parsed, length)))
    } else {
        Err(AdminError::WrongMethod)
    }
}

/// Encodes a response, which announces that the connection is closed after it.
pub fn encode_response(status: u16, body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut response = String::with_capacity(128 + body.len());
    // Writing to a string is infallible.
    let _ = write!(
        response,
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    response.into_bytes()
}
