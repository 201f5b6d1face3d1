//! The hand-over file between two processes of a director, in a shared folder: the rungs of the established
//! sessions. This module owns the file; whether there is a successor, and what becomes of the contents, is
//! decided elsewhere.
//!
//! A file is complete or absent: it is written under a temporary name and renamed. It is read once, and
//! removed.
use crate::interface::RequestId;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

/// Version of the file's format; files of another version are not read.
const FORM: u8 = 1;
/// The largest number of sessions, and the largest file that is read.
const SESSIONS_MOST: usize = 65_536;
const BYTES_MOST: u64 = 1 << 20;

/// Why nothing could be written or read. Sessions go on regardless, at rungs that have to be found out again.
#[derive(Debug, thiserror::Error)]
pub enum EstateError {
    /// The folder or file can't be used.
    #[error("{0}: {1}; both processes need $TMPDIR, with room for a megabyte")]
    File(PathBuf, io::Error),
    /// The contents are not of this format.
    #[error("{0} can't be read as form {FORM}; was the process before this one of another version?")]
    Form(PathBuf),
}

#[derive(Serialize, Deserialize)]
struct Estate {
    form: u8,
    sessions: Vec<(u64, u8)>,
}

/// The path of the file, from the director's name.
pub fn file_path(folder: &Path, name: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    folder.join(format!("stonewharf-{}.estate", name.chars().map(plain).collect::<String>()))
}

/// Writes the file.
pub fn write(place: &Path, sessions: &[(RequestId, usize)]) -> Result<(), EstateError> {
    let sessions = sessions.iter().take(SESSIONS_MOST);
    let sessions = sessions.map(|(id, rung)| (id.0, u8::try_from(*rung).unwrap_or(u8::MAX))).collect();
    let bytes = postcard::to_allocvec(&Estate { form: FORM, sessions }).unwrap_or_default();
    let beside = place.with_extension(format!("{}", std::process::id()));
    let moved = std::fs::write(&beside, bytes).and_then(|()| std::fs::rename(&beside, place));
    moved.map_err(|why| {
        let _ = std::fs::remove_file(&beside); // it may not exist
        EstateError::File(place.to_owned(), why)
    })
}

/// Reads the file and removes it; empty if there is none.
pub fn take(place: &Path) -> Result<Vec<(RequestId, usize)>, EstateError> {
    let error = |why| EstateError::File(place.to_owned(), why);
    let length = match std::fs::metadata(place) {
        Ok(known) => known.len(),
        Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(why) => return Err(error(why)),
    };
    let bytes = if length <= BYTES_MOST { std::fs::read(place).map_err(error)? } else { Vec::new() };
    std::fs::remove_file(place).map_err(error)?;
    match postcard::from_bytes::<Estate>(&bytes) {
        Ok(Estate { form: FORM, sessions }) => {
            Ok(sessions.into_iter().map(|(id, rung)| (RequestId(id), usize::from(rung))).collect())
        }
        _ => Err(EstateError::Form(place.to_owned())),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_left_is_taken_once_and_nothing_else_is_believed() {
        let folder = std::env::temp_dir().join(format!("stonewharf-estate-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let at = file_path(&folder, "n/0");
        assert_eq!(take(&at).expect("nothing yet"), Vec::new());
        let left = vec![(RequestId(7), 3), (RequestId(u64::MAX), 0)];
        write(&at, &[]).expect("left");
        write(&at, &left).expect("left anew");
        assert_eq!(take(&at).expect("taken"), left);
        assert_eq!(take(&at).expect("once"), Vec::new());
        write(&at, &left).expect("left");
        let mut bytes = std::fs::read(&at).expect("there");
        for cut in 0..bytes.len() {
            std::fs::write(&at, &bytes[..cut]).expect("cut short");
            assert!(matches!(take(&at), Err(EstateError::Form(_))), "cut at {cut}");
        }
        bytes[0] = FORM + 1;
        std::fs::write(&at, &bytes).expect("another form");
        let why = take(&at).expect_err("another form").to_string();
        assert!(why.contains("another version"), "{why}");
        assert!(write(&folder.join("none/at/all"), &left).is_err());
        assert_eq!(std::fs::read_dir(&folder).expect("there").count(), 0, "nothing is left lying");
        let _ = std::fs::remove_dir_all(&folder);
    }
}
