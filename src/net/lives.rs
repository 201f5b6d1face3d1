//! The incarnation number of a director among its peers: larger than all before it by the clock, and with a
//! folder that outlives the process also if the clock was set back. Read and written once, before the event
//! loop.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The file that keeps the number of the last incarnation.
const FILE_NAME: &str = "fleet-life";

/// The number of an incarnation that starts at a Unix time; with a folder, it is stored there before it is
/// used.
pub fn next_incarnation(folder: Option<&Path>, unix_us: u64) -> io::Result<u64> {
    let Some(folder) = folder else { return Ok(unix_us) };
    fs::create_dir_all(folder)?;
    let path = folder.join(FILE_NAME);
    let last = match fs::read_to_string(&path) {
        Ok(text) => text.trim().parse::<u64>().unwrap_or(0), // damaged: only the clock is left
        Err(why) if why.kind() == io::ErrorKind::NotFound => 0,
        Err(why) => return Err(why),
    };
    let incarnation = unix_us.max(last.saturating_add(1));
    let temporary = folder.join(format!("{FILE_NAME}.new"));
    let mut file = File::create(&temporary)?;
    writeln!(file, "{incarnation}")?;
    file.sync_all()?;
    fs::rename(&temporary, &path)?;
    File::open(folder)?.sync_all()?;
    Ok(incarnation)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_incarnation_is_later_than_the_last_even_if_the_clock_went_back() {
        let folder = std::env::temp_dir().join(format!("stonewharf-lives-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        assert_eq!(next_incarnation(None, 5).expect("no folder"), 5);
        assert_eq!(next_incarnation(Some(&folder), 1_000).expect("stored"), 1_000);
        assert_eq!(next_incarnation(Some(&folder), 10).expect("stored"), 1_001);
        fs::write(folder.join(FILE_NAME), "no number").expect("written");
        assert_eq!(next_incarnation(Some(&folder), 20).expect("by the clock"), 20);
        fs::write(folder.join("file"), "").expect("written");
        assert!(next_incarnation(Some(&folder.join("file")), 30).is_err(), "a file is no folder");
        let _ = fs::remove_dir_all(&folder);
    }
}
