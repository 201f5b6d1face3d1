//! Signs that the length in a message does not fit: the description that it delimits is not the streamer's.
//!
//! A length that is too short leaves the rest of the description behind the message, one that is too long
//! takes the next message for a part of the description. Only bytes that have been read can show it.

const VERSION: &[u8] = b"RTSP/1.0";
/// What each request begins with after its method.
const ADDRESS: &[u8] = b" rtsp://media/";
/// The methods of the protocol.
const METHODS: [&[u8]; 6] = [b"SETUP", b"TEARDOWN", b"OPTIONS", b"ANNOUNCE", b"REDIRECT", b"SET_PARAMETER"];

/// Whether a message may begin with these bytes, which may be few or none. Empty lines may come first.
pub fn may_start_message(bytes: &[u8]) -> bool {
    let empty = bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    let bytes = &bytes[empty..];
    let response = [VERSION, b" "].concat();
    agree(bytes, &response) || METHODS.iter().any(|method| agree(bytes, &[method, ADDRESS].concat()))
}

/// Whether one of the two begins with the other.
fn agree(bytes: &[u8], expected: &[u8]) -> bool {
    let length = bytes.len().min(expected.len());
    bytes[..length] == expected[..length]
}

/// Searches a description for the start line of a message.
#[derive(Debug, Default)]
pub struct StartLineSearch {
    /// Bytes of the description in which none begins.
    searched: usize,
}

impl StartLineSearch {
    /// Whether a start line is in the part of a description that has been read. To be called with a growing
    /// part of the same description.
    pub fn finds_in(&mut self, description: &[u8]) -> bool {
        let unsearched = description.get(self.searched..).unwrap_or_default();
        let window = VERSION.len() + 2;
        let found = unsearched.windows(window).any(|bytes| {
            let rest = bytes.strip_prefix(VERSION);
            rest.is_some_and(|rest| matches!(rest, [b'\r' | b'\n', _] | [b' ', b'0'..=b'9']))
        });
        self.searched += (unsearched.len() + 1).saturating_sub(window);
        found
    }
}
