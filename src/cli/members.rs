//! `stonewharf fleet members`: asks a running director for its view and prints it. Blocks for 2 s at most.
use crate::net::{NodeError, read_operator_file};
use comfy_table::{Table, presets};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};
use stonewharf_fleet::{Asked, FRAME_MOST, Standing, View};

/// How long the director has to answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// Why there is no view.
#[derive(Debug, thiserror::Error)]
pub enum MembersError {
    /// The operator file can't be used.
    #[error(transparent)]
    File(#[from] NodeError),
    /// It has no fleet.
    #[error("operator file {0}: it has no block fleet that is on; add one, or name another file")]
    Off(String),
    /// The director does not answer.
    #[error("the director at {0} does not answer: {1}; is it running, with this cluster's name?")]
    Silent(SocketAddr, io::Error),
    /// What it answers is no view.
    #[error("what answers at {0} is no director of this program's level")]
    NoView(SocketAddr),
}

/// The view of the director that an operator file is for, or of another of its cluster.
pub fn ask(file: &Path, at: Option<SocketAddr>) -> Result<View, MembersError> {
    let off = || MembersError::Off(file.display().to_string());
    let set = read_operator_file(file, None)?.fleet.filter(|set| set.enabled).ok_or_else(off)?;
    let own = set.listens_at().map_err(|_| off())?;
    let at = at.unwrap_or(SocketAddr::V4(own));
    let bytes = exchange(at, &stonewharf_fleet::ask(&set.cluster), PATIENCE)
        .map_err(|why| MembersError::Silent(at, why))?;
    match stonewharf_fleet::read_view(&bytes) {
        Asked::View(json) => serde_json::from_str(&json).map_err(|_| MembersError::NoView(at)),
        Asked::Unreadable => Err(MembersError::NoView(at)),
    }
}

/// Sends one frame to a director's peer port and waits for the one that answers it.
pub fn exchange(at: SocketAddr, question: &[u8], patience: Duration) -> io::Result<Vec<u8>> {
    let until = Instant::now() + patience;
    let mut stream = TcpStream::connect_timeout(&at, patience)?;
    let left = || until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_write_timeout(Some(left()))?;
    stream.write_all(&(question.len() as u32).to_be_bytes())?;
    stream.write_all(question)?;
    stream.set_read_timeout(Some(left()))?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > FRAME_MOST {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    let mut filled = 0;
    while filled < length {
        stream.set_read_timeout(Some(left()))?; // for all of it together
        match stream.read(bytes.get_mut(filled..).unwrap_or_default())? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => filled += n,
        }
    }
    Ok(bytes)
}

/// Prints a view as a table, or as JSON.
pub fn print(view: &View, json: bool) -> Result<(), MembersError> {
    let text = if json { view.json() } else { table(view) };
    let _ = writeln!(io::stdout(), "{text}"); // whoever closed it has seen enough
    Ok(())
}

fn table(view: &View) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(["name", "at", "hall", "version", "phase", "standing", "settings", "remarks"]);
    for m in &view.members {
        let mut remarks = Vec::new();
        if !m.doubted_by.is_empty() {
            remarks.push(format!("doubtful: {} could not hear it", m.doubted_by.join(", ")));
        }
        if m.deaf_to_us {
            remarks.push("does not hear us".to_owned());
        }
        if m.twin {
            remarks.push("two processes bear this name".to_owned());
        }
        let standing = match m.standing {
            Standing::In => "in",
            Standing::Lost => "lost",
            Standing::Gone => "gone",
        };
        let phase = format!("{:?}", m.phase).to_lowercase();
        let at = m.at.to_string();
        let digest = m.digest.chars().take(8).collect::<String>();
        table.add_row([&m.name, &at, &m.hall, &m.version, &phase, standing, &digest, &remarks.join("; ")]);
    }
    let members = view.members.iter().filter(|m| m.standing == Standing::In).count();
    let replaced = if view.replaced { "; another process bears its name" } else { "" };
    format!(
        "{table}\n\n{} of cluster {}: view {} ({}), {members} in, heard by {} of {} peers{replaced}",
        view.observer,
        view.cluster,
        view.version,
        view.digest.chars().take(8).collect::<String>(),
        view.heard_by,
        view.told_by
    )
}
