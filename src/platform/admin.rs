//! The operators' calls: HTTP/1.1 as far as a door with four calls needs it, one call a connection.
//! `httparse` reads it; nothing here knows what a call does.
use std::fmt::Write;

/// The longest head of a call, bytes.
pub const MAX_HEAD_BYTES: usize = 4 * 1024;
const MAX_HEADERS: usize = 32;

/// What operators ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Does this process take clients?
    Ready,
    /// The figures.
    Vars,
    /// Send clients away, or take them again.
    LameDuck(bool),
}

/// A call that can't be answered with a yes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminError {
    /// It is not HTTP.
    #[error("this is no HTTP call; ask as in GET /_ready HTTP/1.1")]
    Malformed,
    /// It is too long.
    #[error("a call's head has {MAX_HEAD_BYTES} bytes at most; leave header lines out")]
    HeadTooLong,
    /// Nothing has this path.
    #[error("no such call; there are GET /_ready, GET /_vars, PUT /_lameduck/on, PUT /_lameduck/off")]
    UnknownPath,
    /// The path has another method.
    #[error("wrong method; /_ready and /_vars are asked with GET, /_lameduck/on and off with PUT")]
    WrongMethod,
}

impl AdminError {
    /// The status that answers it.
    pub fn status(self) -> u16 {
        match self {
            AdminError::Malformed => 400,
            AdminError::HeadTooLong => 431,
            AdminError::UnknownPath => 404,
            AdminError::WrongMethod => 405,
        }
    }
}

/// Reads one call's head; `None` where it is not whole yet. Also tells how many bytes it took. A body is left
/// unread: none of the calls has one.
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

/// An answer, after which the connection is closed.
pub fn encode_response(status: u16, body: &str) -> Vec<u8> {
    let reason_phrase = match status {
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
    // Writing into a string does not fail.
    let _ = write!(
        response,
        "HTTP/1.1 {status} {reason_phrase}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    response.into_bytes()
}
