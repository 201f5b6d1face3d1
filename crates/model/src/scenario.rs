//! What a run is told: sizes, traffic, what goes wrong when, and the settings of the subsystems. HCL in.
use serde::{Deserialize, Serialize};
use stonewharf_halls::HallSettings;

/// A scenario that can't be played.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {what}")]
pub struct ScenarioError {
    /// The file, as it was named.
    pub file: String,
    /// What is wrong and what is allowed.
    pub what: String,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A hall's streamers, and its directors where `directors` says so, die; they come back cold.
    Loss,
    /// The links between a hall and the others carry nothing; all in it lives on.
    Cut,
    /// `size` of the streamers of a hall take set-ups and answer nothing.
    Stall,
    /// `size` of the uplinks' rate of a hall is taken by others.
    Short,
    /// The first `size` of all directors die and start again at once, knowing nothing.
    Restart,
}

/// Something that goes wrong at a time.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Incident {
    /// What.
    pub kind: Kind,
    /// Which hall; of no meaning for restarts.
    #[serde(default)]
    pub hall: String,
    /// When, seconds from the start.
    pub at: f64,
    /// For how long, seconds.
    #[serde(default)]
    pub lasts: f64,
    /// A share, 0 to 1.
    #[serde(default = "whole")]
    pub size: f64,
    /// Directors of the hall are lost as well.
    #[serde(default)]
    pub directors: bool,
    /// Connections are refused at once; else nothing answers.
    #[serde(default)]
    pub refused: bool,
    /// The list tells of it; else it says that all is well.
    #[serde(default = "yes")]
    pub listed: bool,
    /// Half of the directors hear of the end so many seconds later than the others.
    #[serde(default)]
    pub late_half_s: f64,
    /// Whether it happens. Where not, its time still marks what is measured from a loss on (the other halls'
    /// own viewers), so that a run without the loss can be set beside one with it, all else the same.
    #[serde(default = "yes")]
    pub played: bool,
}

fn whole() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

/// One scenario.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// What it shows.
    pub title: String,
    /// How many directors, dealt to the halls in turn.
    pub directors: u32,
    /// How many streamers, dealt to the halls in turn.
    pub streamers: u32,
    /// The halls.
    pub halls: Vec<String>,
    /// Simulated seconds.
    pub seconds: f64,
    /// What viewers would fill at the middle rate, over all links.
    pub load: f64,
    /// Share of the viewers that come to the first hall; the others share the rest evenly.
    pub first_hall: f64,
    /// How unevenly viewers spread over a hall's directors: 0 even, 1 up to twice the mean.
    pub lean: f64,
    /// Streamers in a rack.
    pub rack: u32,
    /// A rack's uplink over its links.
    pub uplink: f64,
    /// What goes wrong.
    pub incidents: Vec<Incident>,
    /// The settings of the halls, as in the operator file.
    pub operator: HallSettings,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            title: String::new(),
            directors: 3,
            streamers: 18,
            halls: vec!["hall-a".into(), "hall-b".into()],
            seconds: 60.0,
            load: 0.7,
            first_hall: 0.5,
            lean: 0.5,
            rack: 9,
            uplink: 0.7,
            incidents: Vec::new(),
            operator: HallSettings::default(),
        }
    }
}

/// A value of a scenario that can't be, and what may stand there.
#[derive(Debug, thiserror::Error)]
enum Wrong {
    #[error("{what} is {found}; {least} to {most} is allowed")]
    Range { what: String, found: f64, least: f64, most: f64 },
    #[error("incidents[{incident}].hall is {hall:?}; the scenario has {has}")]
    Hall { incident: usize, hall: String, has: String },
    #[error("operator.{0}")]
    Operator(#[from] stonewharf_halls::SettingError),
}

impl Scenario {
    /// Reads a scenario; each of `sets` is `key=value` and replaces what stands under the key.
    pub fn parse(file: &str, text: &str, sets: &[String]) -> Result<Scenario, ScenarioError> {
        let error = |what: String| ScenarioError {
            file: file.to_owned(),
            what: what.split_whitespace().collect::<Vec<_>>().join(" "),
        };
        let mut value: hcl::Value = hcl::from_str(text).map_err(|why| error(why.to_string()))?;
        for set in sets {
            stonewharf_operator::put(&mut value, set).map_err(|why| error(why.to_string()))?;
        }
        let value = serde::de::IntoDeserializer::into_deserializer(value);
        let scenario: Scenario = serde_path_to_error::deserialize(value)
            .map_err(|why| error(format!("{}: {}", why.path(), why.inner())))?;
        scenario.check().map_err(|why| error(why.to_string()))?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), Wrong> {
        let within = |what: &str, found: f64, least: f64, most: f64| {
            let ok = (least..=most).contains(&found);
            if ok { Ok(()) } else { Err(Wrong::Range { what: what.to_owned(), found, least, most }) }
        };
        within("the number of halls", self.halls.len() as f64, 1.0, 16.0)?;
        let halls = self.halls.len() as f64;
        within("directors", f64::from(self.directors), halls, 2_000.0)?;
        within("streamers", f64::from(self.streamers), halls, 5_000.0)?;
        within("seconds", self.seconds, 1.0, 3_600.0)?;
        within("load", self.load, 0.0, 10.0)?;
        within("first_hall", self.first_hall, 0.0, 1.0)?;
        within("lean", self.lean, 0.0, 1.0)?;
        within("rack", f64::from(self.rack), 1.0, 1_000.0)?;
        within("uplink", self.uplink, 0.01, 100.0)?;
        for (i, x) in self.incidents.iter().enumerate() {
            within(&format!("incidents[{i}].at"), x.at, 0.0, self.seconds)?;
            within(&format!("incidents[{i}].lasts"), x.lasts, 0.0, 3_600.0)?;
            within(&format!("incidents[{i}].size"), x.size, 0.0, 1.0)?;
            within(&format!("incidents[{i}].late_half_s"), x.late_half_s, 0.0, 600.0)?;
            if x.kind != Kind::Restart && !self.halls.contains(&x.hall) {
                let has = self.halls.join(", ");
                return Err(Wrong::Hall { incident: i, hall: x.hall.clone(), has });
            }
        }
        Ok(self.operator.check()?)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_set_replaces_what_is_written() {
        let text = "directors = 3\noperator {\n  spill_share = 0.2\n}\n\
                    incidents = [{ kind = \"loss\", hall = \"hall-b\", at = 5 }]\n";
        let sets =
            ["directors=100", "operator.enabled=false", "incidents.0.at=7", "title=far"].map(String::from);
        let s = Scenario::parse("f", text, &sets).expect("right");
        assert_eq!((s.directors, s.operator.enabled, s.operator.spill_share), (100, false, 0.2));
        assert_eq!((s.incidents[0].at, s.title.as_str()), (7.0, "far"));
    }

    #[test]
    fn what_is_wrong_is_one_line_that_names_it() {
        for (text, told) in [
            ("directors = 0\n", "directors is 0; 2 to 2000"),
            ("directers = 3\n", "directers"),
            ("incidents = [{ kind = \"loss\", hall = \"x\", at = 5 }]\n", "incidents[0].hall"),
            ("incidents = [{ kind = \"fire\", at = 5 }]\n", "incidents[0].kind"),
            ("operator {\n spill_share = 2\n}\n", "operator.spill_share is 2"),
            ("load = \n", "f: "),
        ] {
            let why = Scenario::parse("f", text, &[]).expect_err("wrong").to_string();
            assert!(why.contains(told) && !why.contains('\n'), "{why}");
        }
        assert!(Scenario::parse("f", "", &["load".into()]).is_err());
    }
}
