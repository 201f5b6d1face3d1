//! The hand-over file between two processes of a director, in a shared folder: the rungs of the established
//! sessions, and ends of sessions that only one of the two knows. This module owns the file; whether there
//! is a successor, and what becomes of the contents, is decided elsewhere.
//!
//! A file is complete or absent: it is written under a temporary name and renamed. It is read once, and
//! removed.
use crate::director::Handover;
use crate::interface::RequestId;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

/// Version of the file's format. Files of other versions are not read, but for [`RUNGS_ONLY_VERSION`].
const FORMAT_VERSION: u8 = 2;
/// Version whose files hold nothing but rungs.
const RUNGS_ONLY_VERSION: u8 = 1;
/// The largest number of sessions, and the largest file that is read.
const MAX_SESSIONS: usize = 65_536;
const MAX_FILE_BYTES: u64 = 1 << 20;
/// The largest number of messages to viewers.
const MAX_MESSAGES: usize = 4_096;

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

/// What one process leaves to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Estate {
    /// For the core.
    pub handover: Handover,
    /// Encoded messages about ends of sessions that found no viewer connection.
    pub unsent_ends: Vec<Vec<u8>>,
}

#[derive(Serialize, Deserialize)]
struct HandOverFile {
    #[serde(rename = "form")]
    format: u8,
    sessions: Vec<(u64, u8)>,
    ended: Vec<u64>,
    released: Vec<u64>,
    unsent_ends: Vec<Vec<u8>>,
}

#[derive(Serialize, Deserialize)]
struct RungsOnlyFile {
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
pub fn write(path: &Path, estate: &Estate) -> Result<(), HandOverError> {
    let Estate { handover, unsent_ends } = estate;
    let rungs = handover.rungs.iter().take(MAX_SESSIONS);
    let numbers = |ids: &[RequestId]| ids.iter().map(|id| id.0).collect();
    let file = HandOverFile {
        format: FORMAT_VERSION,
        sessions: rungs.map(|(id, rung)| (id.0, u8::try_from(*rung).unwrap_or(u8::MAX))).collect(),
        ended: numbers(&handover.ended),
        released: numbers(&handover.released),
        unsent_ends: unsent_ends.iter().take(MAX_MESSAGES).cloned().collect(),
    };
    let bytes = postcard::to_allocvec(&file).unwrap_or_default();
    let temporary = path.with_extension(format!("{}", std::process::id()));
    let moved = std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, path));
    moved.map_err(|why| {
        let _ = std::fs::remove_file(&temporary); // it may not exist
        HandOverError::File(path.to_owned(), why)
    })
}

/// Reads the file and removes it; `None` if there is none.
pub fn take(path: &Path) -> Result<Option<Estate>, HandOverError> {
    let error = |why| HandOverError::File(path.to_owned(), why);
    let length = match std::fs::metadata(path) {
        Ok(metadata) => metadata.len(),
        Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(why) => return Err(error(why)),
    };
    let bytes = if length <= MAX_FILE_BYTES { std::fs::read(path).map_err(error)? } else { Vec::new() };
    std::fs::remove_file(path).map_err(error)?;
    parse(&bytes).map(Some).ok_or_else(|| HandOverError::Format(path.to_owned()))
}

fn parse(bytes: &[u8]) -> Option<Estate> {
    let file = match *bytes.first()? {
        FORMAT_VERSION => postcard::from_bytes::<HandOverFile>(bytes).ok()?,
        RUNGS_ONLY_VERSION => {
            let RungsOnlyFile { format, sessions } = postcard::from_bytes(bytes).ok()?;
            let (ended, released, unsent_ends) = Default::default();
            HandOverFile { format, sessions, ended, released, unsent_ends }
        }
        _ => return None,
    };
    let ids = |numbers: Vec<u64>| numbers.into_iter().map(RequestId).collect();
    let rungs = file.sessions.into_iter().map(|(id, rung)| (RequestId(id), usize::from(rung))).collect();
    let handover = Handover { rungs, ended: ids(file.ended), released: ids(file.released) };
    Some(Estate { handover, unsent_ends: file.unsent_ends })
}

#[cfg(test)]
mod tests;
