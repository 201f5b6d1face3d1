//! Stores the streamers that are closed by agreement, across restarts of a director. A director that has just
//! started, or that is cut off from all voters, applies the stored restrictions until it receives the agreed
//! state; a file that is damaged or of another format is ignored. A thread of its own writes each change,
//! since a disk may stall and the event loop must not.
use slog::{Logger, warn};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Sender, channel};
use std::thread;

/// Name of the file in the director's folder.
const FILE_NAME: &str = "narrowed";
/// Format and version, at the start of the first line.
const FORMAT: &str = "stonewharf-narrowed 1";
/// The largest file that is read, bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The stored names, and the thread that writes them.
pub struct ClosedStreamers {
    last: Vec<String>,
    writer: Sender<Vec<String>>,
}

impl ClosedStreamers {
    /// Reads the names from a folder, and starts the thread that writes later changes.
    pub fn open(folder: &Path, log: Logger) -> (ClosedStreamers, Vec<String>) {
        let path = folder.join(FILE_NAME);
        let stored = read(&path).unwrap_or_default();
        let (writer, changes) = channel::<Vec<String>>();
        thread::spawn(move || {
            while let Ok(mut names) = changes.recv() {
                names = changes.try_iter().last().unwrap_or(names); // only the latest counts
                if let Err(why) = write(&path, &names) {
                    warn!(log, "the closed streamers can't be stored for the next start: {why}; \
                    check the folder";
                        "file" => path.display().to_string());
                }
            }
        });
        (ClosedStreamers { last: stored.clone(), writer }, stored)
    }

    /// Sets the closed streamers.
    pub fn set(&mut self, names: Vec<String>) {
        if self.last != names {
            self.last.clone_from(&names);
            let _ = self.writer.send(names); // the thread ends only with the process
        }
    }
}

fn read(path: &PathBuf) -> Option<Vec<String>> {
    if fs::metadata(path).ok()?.len() > MAX_FILE_BYTES {
        return None;
    }
    let text = fs::read_to_string(path).ok()?;
    let mut lines = text.lines();
    let count: usize = lines.next()?.strip_prefix(FORMAT)?.trim().parse().ok()?;
    let names: Vec<String> = lines.map(str::to_owned).collect();
    (names.len() == count).then_some(names) // a truncated file is ignored
}

fn write(path: &Path, names: &[String]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    writeln!(file, "{FORMAT} {}", names.len())?;
    for name in names.iter().filter(|name| !name.contains('\n')) {
        writeln!(file, "{name}")?;
    }
    file.sync_all()?;
    fs::rename(&temporary, path)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn closed_streamers_survive_a_restart_and_a_damaged_file_is_ignored() {
        let folder = std::env::temp_dir().join(format!("stonewharf-narrowed-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let path = folder.join(FILE_NAME);
        assert_eq!(read(&path), None);
        let names = vec!["s-1".to_owned(), "s-7".to_owned()];
        write(&path, &names).expect("written");
        assert_eq!(read(&path), Some(names.clone()));
        let (_, stored) = ClosedStreamers::open(&folder, Logger::root(slog::Discard, slog::o!()));
        assert_eq!(stored, names);
        let text = fs::read_to_string(&path).expect("there");
        for cut in 0..text.len() - 4 {
            fs::write(&path, &text[..cut]).expect("cut");
            assert_ne!(read(&path), Some(names.clone()), "cut at {cut}");
        }
        fs::write(&path, "another form 2\ns-1\ns-7\n").expect("written");
        assert_eq!(read(&path), None);
        let _ = fs::remove_dir_all(&folder);
    }
}
