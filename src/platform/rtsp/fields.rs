//! The header fields of a message from a streamer.
use super::RtspError;

/// Most header fields of one message.
const MAX_FIELDS: usize = 32;

/// The header fields of one message, in order.
#[derive(Debug, Default)]
pub struct HeaderFields(Vec<(String, Vec<u8>)>);

impl HeaderFields {
    /// Adds the field in a header line, which ends with a line feed.
    pub fn add_line(&mut self, line: &[u8]) -> Result<(), RtspError> {
        if self.0.len() >= MAX_FIELDS {
            return Err(httparse::Error::TooManyHeaders.into());
        }
        let mut slots = [httparse::EMPTY_HEADER; 1];
        let head = [line, b"\r\n"].concat();
        if let httparse::Status::Complete((_, [field])) = httparse::parse_headers(&head, &mut slots)? {
            self.0.push((field.name.to_owned(), field.value.to_vec()));
        }
        Ok(())
    }

    /// The value of a field, if it is there and readable.
    pub fn get(&self, name: &str) -> Option<&str> {
        let (_, value) = self.0.iter().find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }
}
