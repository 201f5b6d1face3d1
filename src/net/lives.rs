//! The incarnation number of a director among its peers: larger than all before it by the clock, and with a
//! folder that outlives the process also if the clock was set back. Read and written once, before the event
//! loop.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The file that keeps the number of the last incarnation.
const FILE: &str = "fleet-life";

/// The number of an incarnation that starts at a Unix time; with a folder, it is stored there before it is
/// used.
pub fn next_incarnation(folder: Option<&Path>, unix_us: u64) -> io::Result<u64> {
    let Some(folder) = folder else { return Ok(unix_us) };
    fs::create_dir_all(folder)?;
    let path = folder.join(FILE);
    let last = match fs::read_to_string(&path) {
        Ok(text) => text.trim().parse::<u64>().unwrap_or(0), // damaged: only the clock is left
        Err(why) if why.kind() == io::ErrorKind::NotFound => 0,
        Err(why) => return Err(why),
    };
    let life = unix_us.max(last.saturating_add(1));
    let fresh = folder.join(format!("{FILE}.new"));
    let mut file = File::create(&fresh)?;
    writeln!(file, "{life}")?;
    file.sync_all()?;
    fs::rename(&fresh, &path)?;
    File::open(folder)?.sync_all()?;
    Ok(life)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_life_is_later_than_the_last_also_if_the_clock_went_back() {
        let folder = std::env::temp_dir().join(format!("stonewharf-lives-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        assert_eq!(next_incarnation(None, 5).expect("no folder"), 5);
        assert_eq!(next_incarnation(Some(&folder), 1_000).expect("kept"), 1_000);
        assert_eq!(next_incarnation(Some(&folder), 10).expect("kept"), 1_001);
        fs::write(folder.join(FILE), "no number").expect("written");
        assert_eq!(next_incarnation(Some(&folder), 20).expect("by the clock"), 20);
        fs::write(folder.join("file"), "").expect("written");
        assert!(next_incarnation(Some(&folder.join("file")), 30).is_err(), "a file is no folder");
        let _ = fs::remove_dir_all(&folder);
    }
}
