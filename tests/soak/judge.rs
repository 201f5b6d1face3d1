//! What must hold of a run, by the records of its clients and streamers alone.
use super::clients::{Asked, Book, Heard};
use super::streamers::Records;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// An answer that is later than this after its time counts as none.
const LATE: Duration = Duration::from_millis(500);
/// A request that crosses the end of its connection by no more is sent again by its client.
const CROSSING: Duration = Duration::from_millis(50);
/// An attempt that comes to a streamer this much after the end of its request was begun after it.
const AFTER_THE_END: Duration = Duration::from_millis(300);
/// What is over at its streamer is released to its client within this.
const RELEASED: Duration = Duration::from_millis(1_050);

/// All that was written down in a run.
#[derive(Default)]
pub struct Evidence {
    pub asked: BTreeMap<u64, Asked>,
    pub streamers: Vec<Records>,
    /// When each streamer did not read what came.
    pub deaf: Vec<Vec<(Instant, Instant)>>,
    /// When each process was told to end.
    pub told: BTreeMap<usize, Instant>,
    pub end: Option<Instant>,
}

impl Evidence {
    pub fn add(&mut self, books: Vec<Book>) {
        let mut others = Vec::new();
        for book in books {
            self.asked.extend(book.asked);
            others.extend(book.others);
        }
        for (id, at, heard) in others {
            if let Some(asked) = self.asked.get_mut(&id) {
                asked.heard.push((at, heard));
                asked.heard.sort_by_key(|heard| heard.0);
            }
        }
    }

    /// All that was broken, a line each.
    pub fn broken(&self) -> Vec<String> {
        let each = |asked: &Asked| {
            let told = self.told.get(&asked.process).map(|told| asked.at.saturating_duration_since(*told));
            [self.answered(asked), self.as_made(asked), self.not_after_its_end(asked), self.released(asked)]
                .into_iter()
                .flatten()
                .map(|what| {
                    let (id, process) = (asked.id, asked.process);
                    format!("{id:016x} at process {process}, {told:?} after SIGTERM: {what}; {asked:?}")
                })
                .collect::<Vec<_>>()
        };
        self.asked.values().flat_map(each).collect()
    }

    /// Each request taken gets exactly one whole answer in time.
    fn answered(&self, asked: &Asked) -> Option<String> {
        let kinds: Vec<&Heard> = asked.heard.iter().map(|heard| &heard.1).collect();
        match kinds.as_slice() {
            [] => self.excused(asked).then_some(()).map_or(Some("no answer".into()), |()| None),
            [Heard::Ended] | [Heard::Served(_)] | [Heard::Served(_), Heard::Ended | Heard::Moved] => {
                let took = asked.heard[0].0.saturating_duration_since(asked.at);
                (took > asked.wait + LATE && asked.left.is_none_or(|left| left > asked.heard[0].0))
                    .then(|| format!("answered after {took:?}"))
            }
            _ => Some("more than one answer".into()),
        }
    }

    /// Whether a request without an answer is owed none.
    fn excused(&self, asked: &Asked) -> bool {
        let crossed = asked.ended.is_some_and(|ended| asked.at + CROSSING >= ended);
        let still_open = self.end.is_some_and(|end| end < asked.at + asked.wait + LATE);
        let left = asked.left.is_some_and(|left| left <= asked.at + asked.wait + LATE);
        left || crossed || still_open && asked.ended.is_none()
    }

    /// What is served was made by a streamer for this session.
    fn as_made(&self, asked: &Asked) -> Option<String> {
        let (_, Heard::Served(what)) = asked.heard.first()? else { return None };
        let made = |records: &Records| records.get(&asked.id).is_some_and(|seen| seen.made.contains(what));
        (!self.streamers.iter().any(made)).then(|| format!("served with {what:?}, which nobody made"))
    }

    /// Nothing is forwarded after its end.
    fn not_after_its_end(&self, asked: &Asked) -> Option<String> {
        let answered = asked.heard.first().map(|heard| heard.0);
        let end = [answered, asked.left].into_iter().flatten().min()?;
        for (records, deaf) in self.streamers.iter().zip(&self.deaf) {
            let came = records.get(&asked.id).map(|seen| seen.set_ups.as_slice()).unwrap_or_default();
            let read_late = |at: &Instant| deaf.iter().any(|(from, to)| from <= at && *at <= *to + LATE);
            if let Some(late) = came.iter().find(|at| **at > end + AFTER_THE_END && !read_late(at)) {
                return Some(format!("forwarded {:?} after its end", late.duration_since(end)));
            }
        }
        None
    }

    /// What stood and is over is released to its client, where its connection is still there.
    fn released(&self, asked: &Asked) -> Option<String> {
        let (_, Heard::Served(what)) = asked.heard.first()? else { return None };
        let made =
            |records: &Records| records.get(&asked.id).filter(|seen| seen.made.contains(what))?.released;
        let over = self.streamers.iter().find_map(made)?;
        let due = over + RELEASED;
        let there = asked.left.is_none_or(|left| left > due) && asked.ended.is_none_or(|ended| ended > due);
        let released = asked.heard.get(1).is_some_and(|heard| heard.0 <= due);
        let judged = there && self.end.is_some_and(|end| end > due);
        let served = asked.heard[0].0;
        let stood = over.saturating_duration_since(served);
        (judged && !released)
            .then(|| format!("not released in time after it was over, {stood:?} after its answer"))
    }
}
