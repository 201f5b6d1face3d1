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
const FORMAT_VERSION: u8 = 1;
/// The largest number of sessions, and the largest file that is read.
const MAX_SESSIONS: usize = 65_536;
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Why nothing could be written or read. Sessions go on regardless, at rungs that have to be found out again.
#[derive(Debug, thiserror::Error)]
pub enum HandOverError {
    /// The folder or file can't be used.
    #[error("{0}: {1}; both processes need the folder $TMPDIR, with a megabyte of free space")]
    File(PathBuf, io::Error),
    /// The contents are not of this format.
    #[error("{0} can't be read as format {FORMAT_VERSION}; was the previous process of another version?")]
    Format(PathBuf),
}

#[derive(Serialize, Deserialize)]
struct HandOverFile {
    #[serde(rename = "form")]
    format: u8,
    sessions: Vec<(u64, u8)>,
}

/// The path of the file, from the director's name.
pub fn file_path(folder: &Path, name: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    folder.join(format!("stonewharf-{}.estate", name.chars().map(plain).collect::<String>()))
}

/// Writes the file.
pub fn write(path: &Path, sessions: &[(RequestId, usize)]) -> Result<(), HandOverError> {
    let sessions = sessions.iter().take(MAX_SESSIONS);
    let sessions = sessions.map(|(id, rung)| (id.0, u8::try_from(*rung).unwrap_or(u8::MAX))).collect();
    let bytes = postcard::to_allocvec(&HandOverFile { format: FORMAT_VERSION, sessions }).unwrap_or_default();
    let temporary = path.with_extension(format!("{}", std::process::id()));
    let moved = std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, path));
    moved.map_err(|why| {
        let _ = std::fs::remove_file(&temporary); // it may not exist
        HandOverError::File(path.to_owned(), why)
    })
}

/// Reads the file and removes it; empty if there is none.
pub fn take(path: &Path) -> Result<Vec<(RequestId, usize)>, HandOverError> {
    let error = |why| HandOverError::File(path.to_owned(), why);
    let length = match std::fs::metadata(path) {
        Ok(metadata) => metadata.len(),
        Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(why) => return Err(error(why)),
    };
    let bytes = if length <= MAX_FILE_BYTES { std::fs::read(path).map_err(error)? } else { Vec::new() };
    std::fs::remove_file(path).map_err(error)?;
    match postcard::from_bytes::<HandOverFile>(&bytes) {
        Ok(HandOverFile { format: FORMAT_VERSION, sessions }) => {
            Ok(sessions.into_iter().map(|(id, rung)| (RequestId(id), usize::from(rung))).collect())
        }
        _ => Err(HandOverError::Format(path.to_owned())),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_is_read_once_and_damaged_or_other_formats_are_refused() {
        let folder = std::env::temp_dir().join(format!("stonewharf-estate-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let path = file_path(&folder, "n/0");
        assert_eq!(take(&path).expect("nothing yet"), Vec::new());
        let sessions = vec![(RequestId(7), 3), (RequestId(u64::MAX), 0)];
        write(&path, &[]).expect("written");
        write(&path, &sessions).expect("written again");
        assert_eq!(take(&path).expect("read"), sessions);
        assert_eq!(take(&path).expect("read once"), Vec::new());
        write(&path, &sessions).expect("written");
        let mut bytes = std::fs::read(&path).expect("there");
        for cut in 0..bytes.len() {
            std::fs::write(&path, &bytes[..cut]).expect("cut short");
            assert!(matches!(take(&path), Err(HandOverError::Format(_))), "cut at {cut}");
        }
        bytes[0] = FORMAT_VERSION + 1;
        std::fs::write(&path, &bytes).expect("another format");
        let why = take(&path).expect_err("another format").to_string();
        assert!(why.contains("another version"), "{why}");
        assert!(write(&folder.join("none/at/all"), &sessions).is_err());
        assert_eq!(std::fs::read_dir(&folder).expect("there").count(), 0, "no file is left behind");
        let _ = std::fs::remove_dir_all(&folder);
    }
}
