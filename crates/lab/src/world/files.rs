//! The files of a run's directors: configuration, operator file, plan of a release, folders and copies of
//! them.
use super::{World, own_ip};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The module's settings of each director; what differs is put in.
const SETTINGS: &str = r#"{"accounts": [], "me": 0, "peers_total": 1, "membership_mode": "pushed",
"my_zone": "hall-a", "dcs": ["hall-a", "hall-b"], "kinds": ["two-core"], "over_share_worth": 0.1,
"deductions": {}, "report": {"how": "pull", "names": ["load_share"]},
"bounds": {"dial_timeout_us": 250000, "keepalive_us": 15000000, "max_attempts": 4,
  "max_retry_after_us": 1000000, "multiplex": 32, "probes": false, "retry_after": true},
"family_info": {"cells": 1, "racks": 1, "class_scale": [1.0, 1.0], "fleet_kb": 10000.0, "rack_kb": 10000.0,
  "weight_kb": 40000.0, "full_from": 1.2, "highest_rung": [1, 1], "lowest_rung": [1, 0],
  "kind_streams": [400],
  "ladder_kb": [100.0, 200.0], "ladder_worth": [0.5, 1.0], "switch_s": 0.5},
"lanes": [{"name": "replay", "importance": 2.0, "target_us": 750000, "deadline_us": 1500000,
    "effect": "at_most_once"},
  {"name": "seat-view", "importance": 1.0, "target_us": 750000, "deadline_us": 1500000,
    "effect": "idempotent"}],
"rules": {"cold_from": 0.4, "ramp_time_us": 1000, "fall_multiple": 3.0}}"#;

impl World {
    pub(super) fn member(&self, i: usize, k: usize, phase: &str, since_ms: u64) -> String {
        let at = self.to_streamers[i][k];
        let hall = if k.is_multiple_of(self.scenario.streamer_halls) { "hall-a" } else { "hall-b" };
        let member = serde_json::json!({
            "id": format!("s-{k}"), "host_port": at.to_string(), "locality": hall, "flavor": "two-core",
            "cell": 0, "phase": phase, "size": 1, "up_since_ms": since_ms,
        });
        member.to_string()
    }

    pub(super) fn own_folder(&self, i: usize) -> PathBuf {
        self.folder.join(format!("d{i}"))
    }

    /// Writes a director's operator file; a damaged one can't be read.
    pub fn operator_file(&self, i: usize, damaged: bool) -> io::Result<PathBuf> {
        let folder = self.own_folder(i);
        fs::create_dir_all(&folder)?;
        let file = folder.join("operator.hcl");
        fs::write(&file, self.operator_text(i, self.newer.contains(&i), damaged))?;
        Ok(file)
    }

    /// With which file a director is started from now on: "new", "old", or as it was.
    pub fn file(&mut self, i: usize, which: &str) {
        match which {
            "new" => drop(self.newer.insert(i)),
            "old" => drop(self.newer.remove(&i)),
            _ => {}
        }
    }

    /// Writes the plan of the scenario's release, and the operator file that it brings.
    pub(super) fn plan_file(&self) -> io::Result<PathBuf> {
        fs::write(self.folder.join("new.hcl"), self.operator_text(0, true, false))?;
        let waves: Vec<String> = self.scenario.waves.iter().map(u32::to_string).collect();
        let plan = format!(
            "name = \"lab\"\noperator = \"new.hcl\"\nwaves = [{}]\nwatch_s = {}\n",
            waves.join(", "),
            self.scenario.watch_s
        );
        let file = self.folder.join("plan.hcl");
        fs::write(&file, plan)?;
        Ok(file)
    }

    pub(super) fn operator_text(&self, i: usize, newer: bool, damaged: bool) -> String {
        let seeds = if self.scenario.seeds == 0 { 3 } else { self.scenario.seeds };
        let seeds: Vec<String> =
            self.peers.iter().take(seeds).map(|at| format!("{:?}", at.to_string())).collect();
        let share = if newer { "  spill_share = 0.7\n" } else { "" };
        let mut text = format!("halls {{\n  enabled = false\n{share}}}\n");
        if self.scenario.fleet {
            text.push_str(&format!(
                "fleet {{\n  cluster = \"lab-{}\"\n  listen = \"{}:0\"\n  advertise = \"{}\"\n  \
                 seeds = [{}]\n  folder = {:?}\n}}\n",
                self.seed,
                own_ip(i),
                self.peers[i],
                seeds.join(", "),
                self.own_folder(i).display().to_string()
            ));
        }
        if self.scenario.voters > 0 {
            let voters: Vec<String> = (0..self.scenario.voters).map(|i| format!("\"d{i}\"")).collect();
            text.push_str(&format!("agreement {{\n  voters = [{}]\n}}\nout {{\n", voters.join(", ")));
            self.scenario.out.iter().for_each(|(key, n)| text.push_str(&format!("  {key} = {n}\n")));
            text.push_str("}\n");
            if self.scenario.continuity {
                text.push_str("continuity {\n");
                self.scenario.estates.iter().for_each(|(key, n)| text.push_str(&format!("  {key} = {n}\n")));
                text.push_str("}\n");
            }
        }
        if damaged {
            text.push_str("halls {\n  spil_share =\n");
        }
        text
    }

    pub(super) fn config_file(&self, i: usize) -> io::Result<PathBuf> {
        let mut settings: serde_json::Value = serde_json::from_str(SETTINGS).map_err(io::Error::other)?;
        settings["me"] = i.into();
        settings["peers_total"] = self.scenario.directors.into();
        settings["my_zone"] = if i.is_multiple_of(2) { "hall-a" } else { "hall-b" }.into();
        settings["family_info"]["kind_streams"] = serde_json::json!([self.scenario.streams]);
        settings["rules"]["ramp_time_us"] = ((self.scenario.warm_up_s * 1e6) as u64).into();
        // A link carries as many sessions at the middle of the ladder as its streamer runs.
        let link_kb = 100.0 * f64::from(self.scenario.streams);
        settings["family_info"]["weight_kb"] = link_kb.into();
        let streams = link_kb * self.scenario.streamers as f64;
        settings["family_info"]["fleet_kb"] = streams.into();
        settings["family_info"]["rack_kb"] = streams.into();
        let members: Vec<String> =
            (0..self.streamers.len()).map(|k| self.member(i, k, "in_service", 0)).collect();
        let members: serde_json::Value =
            serde_json::from_str(&format!("[{}]", members.join(","))).map_err(io::Error::other)?;
        let config = serde_json::json!({
            "name": format!("d{i}"), "listen": "127.0.0.1:0",
            "seed": format!("{:x}", self.seed * 1000 + i as u64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "bulletin": self.to_bulletin[i].to_string(),
            "known": {"no": 1, "items": [
                {"no": 1, "roster": {"revision": 1, "complete": true, "members": members}},
            ]},
            "settings": settings,
        });
        let file = self.own_folder(i).join("config.json");
        fs::create_dir_all(self.own_folder(i))?;
        fs::write(&file, config.to_string())?;
        Ok(file)
    }

    pub(super) fn copy(&self, i: usize) -> PathBuf {
        self.folder.join(format!("d{i}-older"))
    }

    /// Puts a copy of a director's folder aside, of the files as they are at this moment.
    pub fn copy_folder(&self, i: usize) -> io::Result<()> {
        replace_folder(&self.own_folder(i), &self.copy(i))
    }

    /// Puts the copy in the folder's place.
    pub fn older_folder(&self, i: usize) -> io::Result<()> {
        replace_folder(&self.copy(i), &self.own_folder(i))
    }

    /// Empties a director's folder.
    pub fn empty_folder(&self, i: usize) {
        let _ = fs::remove_dir_all(self.own_folder(i));
    }
}

fn replace_folder(from: &Path, to: &Path) -> io::Result<()> {
    let _ = fs::remove_dir_all(to); // it need not be there
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}
