//! Judges a run of the project's lab by its history: whether a paid title of a viewer was set up at a streamer while
//! an earlier set-up of the same viewer and title stood at another one.
use crate::base::{Record, Verdict};
use std::collections::BTreeMap;

/// The objects of one list of the history, each as its text.
fn objects<'a>(history: &'a str, list: &str) -> Vec<&'a str> {
    let Some(from) = history.find(&format!("\"{list}\":[")) else { return Vec::new() };
    let text = &history[from..];
    let to = text.find("}]").map_or(text.len(), |end| end + 1);
    text[..to].split("},{").collect()
}

/// The value of a key in an object without objects inside.
fn value<'a>(object: &'a str, key: &str) -> Option<&'a str> {
    let text = object.split(&format!("\"{key}\":")).nth(1)?;
    Some(text.split([',', '}', ']']).next()?.trim_matches('"'))
}

struct SetUp {
    at: u64,
    ended: u64,
    streamer: String,
    id: String,
}

pub fn run(history: &str, record: &Record) -> Verdict {
    let history = match std::fs::read_to_string(history) {
        Ok(history) => history,
        Err(why) => return Verdict::CouldNotRun(format!("the lab left no history: {why}")),
    };
    let number = |object: &str, key: &str| value(object, key).and_then(|v| v.parse::<u64>().ok());
    let began = number(&history, "began").unwrap_or(0);
    let seconds = |at: u64| at.saturating_sub(began) as f64 / 1e6;
    // A viewer of the lab always wants the same title.
    let mut viewers = BTreeMap::new();
    for asked in objects(&history, "asked") {
        let (Some(id), Some(viewer)) = (value(asked, "id"), value(asked, "viewer")) else { continue };
        if value(asked, "paid") == Some("true") {
            viewers.insert(id.to_owned(), viewer.to_owned());
            record.say(format!("asked {asked}"));
        }
    }
    let mut of_viewer: BTreeMap<String, Vec<SetUp>> = BTreeMap::new();
    for text in objects(&history, "set_ups") {
        let id = value(text, "id").unwrap_or_default().to_owned();
        let Some(viewer) = viewers.get(&id) else { continue };
        record.say(format!("set up {text}"));
        if value(text, "stands") != Some("true") {
            continue;
        }
        let streamer = value(text, "streamer").unwrap_or_default().to_owned();
        let at = number(text, "at").unwrap_or(0);
        let ended = number(text, "ended").unwrap_or(u64::MAX);
        of_viewer.entry(viewer.clone()).or_default().push(SetUp { at, ended, streamer, id });
    }
    let (mut judged, mut twice) = (0, Vec::new());
    for (viewer, mut set_ups) in of_viewer {
        judged += 1;
        set_ups.sort_by_key(|s| s.at);
        for pair in set_ups.windows(2) {
            let [first, second] = pair else { continue };
            if second.at < first.ended {
                record.say(format!(
                    "viewer {viewer}: {} at s{} from {:.3} to {:.3} s; {} at s{} from {:.3} s",
                    first.id,
                    first.streamer,
                    seconds(first.at),
                    seconds(first.ended),
                    second.id,
                    second.streamer,
                    seconds(second.at)
                ));
                twice.push(viewer.clone());
            }
        }
    }
    if !twice.is_empty() {
        return Verdict::Broken(format!(
            "{} of {judged} paid viewers were set up a second time while the first session played: {}",
            twice.len(),
            twice.join(" ")
        ));
    }
    if judged < 100 {
        return Verdict::CouldNotRun(format!("only {judged} paid viewers were set up"));
    }
    Verdict::Held(format!("each of {judged} paid viewers was set up once at a time"))
}
