//! The hand-over file between two processes of a director, in a shared folder: the rungs of the established
//! sessions, and ends of sessions that only one of the two knows, of some only at one streamer. This module
//! owns the file; whether there is a successor, and what becomes of the contents, is decided elsewhere.
//!
//! A file is complete or absent: it is written under a temporary name and renamed. It is read once, and
//! removed.
use crate::director::SessionEnd;
use crate::interface::RequestId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
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

/// A session at a streamer, which has a number of its own in each process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedSession {
    /// The session.
    pub session: RequestId,
    /// The streamer's name.
    pub streamer: String,
}

/// What one process leaves to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Estate {
    /// The established sessions, with their rungs.
    pub rungs: Vec<(RequestId, usize)>,
    /// Sessions that have ended wherever they play.
    pub ended: Vec<RequestId>,
    /// Sessions that were released at a streamer by the director.
    pub released: Vec<NamedSession>,
    /// Sessions that were released at an unknown streamer and stand at none, from an earlier version.
    pub released_anywhere: Vec<RequestId>,
    /// Sessions that were released by their streamer, and why.
    pub released_by_streamers: Vec<(NamedSession, SessionEnd)>,
    /// Encoded messages about ends of sessions that found no viewer connection.
    pub unsent_ends: Vec<Vec<u8>>,
}

#[derive(Serialize, Deserialize)]
struct HandOverFile {
    #[serde(rename = "form")]
    format: u8,
    sessions: Vec<(u64, u8)>,
    ended: Vec<u64>,
    /// Sessions that were released at some streamer. Only earlier versions, which take them to have ended
    /// everywhere, rely on it: established sessions are not among them.
    released: Vec<u64>,
    /// The first one is the encoded [`EndsAtStreamers`]. Earlier versions pass over it, since it is no
    /// message that ends a session.
    unsent_ends: Vec<Vec<u8>>,
}

/// Start of the encoded [`EndsAtStreamers`]. No message to a viewer begins like this: its length is not 0.
const ENDS_AT_STREAMERS_TAG: &[u8] = b"\0\0ends-at-streamers";

/// Ends of sessions at streamers.
#[derive(Default, Serialize, Deserialize)]
struct EndsAtStreamers {
    /// Names of the streamers, to which the other fields refer by index.
    streamers: Vec<String>,
    released: Vec<(u64, u32)>,
    released_by_streamers: Vec<(u64, u32, StoredReason)>,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
enum StoredReason {
    Ended,
    Cut,
    Left,
}

impl EndsAtStreamers {
    fn encode(estate: &Estate) -> Vec<u8> {
        let mut ends = EndsAtStreamers::default();
        let mut indices = BTreeMap::new();
        let mut numbered = |at: &NamedSession| {
            let index = *indices.entry(at.streamer.clone()).or_insert_with(|| {
                ends.streamers.push(at.streamer.clone());
                ends.streamers.len() as u32 - 1
            });
            (at.session.0, index)
        };
        ends.released = estate.released.iter().map(&mut numbered).collect();
        ends.released_by_streamers = (estate.released_by_streamers.iter())
            .map(|(at, reason)| {
                let (session, index) = numbered(at);
                (session, index, StoredReason::from(*reason))
            })
            .collect();
        [ENDS_AT_STREAMERS_TAG, &postcard::to_allocvec(&ends).unwrap_or_default()].concat()
    }

    fn decode(bytes: &[u8]) -> Option<EndsAtStreamers> {
        postcard::from_bytes(bytes.strip_prefix(ENDS_AT_STREAMERS_TAG)?).ok()
    }

    fn named(&self, session: u64, index: u32) -> Option<NamedSession> {
        let streamer = self.streamers.get(index as usize)?.clone();
        Some(NamedSession { session: RequestId(session), streamer })
    }
}

impl From<SessionEnd> for StoredReason {
    fn from(reason: SessionEnd) -> StoredReason {
        match reason {
            SessionEnd::Ended => StoredReason::Ended,
            SessionEnd::Cut => StoredReason::Cut,
            SessionEnd::Left => StoredReason::Left,
        }
    }
}

impl From<StoredReason> for SessionEnd {
    fn from(reason: StoredReason) -> SessionEnd {
        match reason {
            StoredReason::Ended => SessionEnd::Ended,
            StoredReason::Cut => SessionEnd::Cut,
            StoredReason::Left => SessionEnd::Left,
        }
    }
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
    let bytes = postcard::to_allocvec(&encode(estate)).unwrap_or_default();
    let temporary = path.with_extension(format!("{}", std::process::id()));
    let moved = std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, path));
    moved.map_err(|why| {
        let _ = std::fs::remove_file(&temporary); // it may not exist
        HandOverError::File(path.to_owned(), why)
    })
}

fn encode(estate: &Estate) -> HandOverFile {
    let rungs = estate.rungs.iter().take(MAX_SESSIONS);
    let stored_rung = |(id, rung): &(RequestId, usize)| (id.0, u8::try_from(*rung).unwrap_or(u8::MAX));
    let standing: BTreeSet<RequestId> = estate.rungs.iter().map(|(id, _)| *id).collect();
    let over = estate.released.iter().map(|at| at.session).filter(|id| !standing.contains(id));
    let over: BTreeSet<u64> = over.map(|id| id.0).collect();
    let messages = estate.unsent_ends.iter().take(MAX_MESSAGES).cloned();
    HandOverFile {
        format: FORMAT_VERSION,
        sessions: rungs.map(stored_rung).collect(),
        ended: estate.ended.iter().map(|id| id.0).collect(),
        released: over.into_iter().collect(),
        unsent_ends: std::iter::once(EndsAtStreamers::encode(estate)).chain(messages).collect(),
    }
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
    decode(file)
}

fn decode(file: HandOverFile) -> Option<Estate> {
    let ids = |numbers: Vec<u64>| numbers.into_iter().map(RequestId).collect::<Vec<_>>();
    let rungs: Vec<_> =
        file.sessions.into_iter().map(|(id, rung)| (RequestId(id), usize::from(rung))).collect();
    let mut estate = Estate { rungs, ended: ids(file.ended), ..Estate::default() };
    let mut messages = file.unsent_ends;
    if !messages.first().is_some_and(|first| first.starts_with(ENDS_AT_STREAMERS_TAG)) {
        // Written by an earlier version, which does not tell at which streamers it released sessions. A
        // session that is established was released at another streamer than that where it plays.
        let standing: BTreeSet<RequestId> = estate.rungs.iter().map(|(id, _)| *id).collect();
        estate.released_anywhere = ids(file.released);
        estate.released_anywhere.retain(|id| !standing.contains(id));
        estate.unsent_ends = messages;
        return Some(estate);
    }
    let ends = EndsAtStreamers::decode(&messages.remove(0))?;
    for (session, index) in &ends.released {
        estate.released.push(ends.named(*session, *index)?);
    }
    for (session, index, reason) in &ends.released_by_streamers {
        estate.released_by_streamers.push((ends.named(*session, *index)?, SessionEnd::from(*reason)));
    }
    estate.unsent_ends = messages;
    Some(estate)
}

#[cfg(test)]
mod tests;
