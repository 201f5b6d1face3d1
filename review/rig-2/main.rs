//! The stand-ins and checks of the cases 6 to 10: `rig-2 NAME FOLDER [HISTORY]`. Writes `record.txt` to the folder. Exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption
//! out.
mod base;
mod empty_lines;
mod lame_duck;
mod late_dial;
mod length_line;
mod paid_once;
mod streamer;
mod upgrade;
mod viewer;

use base::{Record, Verdict};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::process::exit;
use std::time::Duration;

/// No case takes longer.
const LONGEST: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, rest @ ..] = arguments.as_slice() else {
        eprintln!("usage: rig-2 NAME FOLDER [HISTORY]");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(Path::new(folder)) else {
        eprintln!("record.txt can't be written");
        exit(2);
    };
    record.say(format!("case {name}, trouble {trouble}"));
    // A case that hangs has not run, and leaves nothing behind.
    let late = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST);
        late.say("COULD NOT RUN: it took too long");
        base::end_all();
        exit(2);
    });
    let case = || match name.as_str() {
        "lame-duck" => lame_duck::run(trouble, &record),
        "late-dial" => late_dial::run(trouble, &record),
        "length-line" => length_line::run(trouble, &record),
        "paid-once" => paid_once::run(rest.first().map_or("", |file| file), &record),
        "upgrade" => upgrade::run(trouble, &record),
        "empty-lines" => empty_lines::run(trouble, &record),
        _ => Verdict::CouldNotRun("there is no such case".into()),
    };
    // Nor has one run whose stand-ins failed.
    let verdict = catch_unwind(AssertUnwindSafe(case));
    base::end_all();
    let verdict = verdict.unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in has failed".into()));
    let (code, line) = match verdict {
        Verdict::Held(why) => (0, format!("HELD: {why}")),
        Verdict::Broken(why) => (1, format!("BROKEN: {why}")),
        Verdict::CouldNotRun(why) => (2, format!("COULD NOT RUN: {why}")),
    };
    record.say(&line);
    println!("{line}");
    exit(code);
}
