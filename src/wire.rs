//! The simulator's JSON on one side, the module's types on the other. Translates; decides nothing.
use crate::Controller;
use crate::interface::*;
use crate::settings::{
    Interner, NameError, NameRegistry, NamedEntry, NamedRequest, RawSettings, load_report, whole_or_zero,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// What can be wrong with a batch.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Not JSON, an unknown event, or a missing or mistyped field.
    #[error("bad message: {0}")]
    Json(#[from] serde_json::Error),
    /// An event for an instance that was never configured.
    #[error("event for unknown controller {0}")]
    UnknownController(u64),
    /// A list number that no `Pool` has set.
    #[error("list {0} is not known")]
    UnknownList(u64),
    /// A word outside the wire's vocabulary, or unusable settings.
    #[error(transparent)]
    Name(#[from] NameError),
    /// Settings that the module refuses.
    #[error("unusable settings: {0}")]
    Settings(#[from] SettingsError),
}

#[derive(Deserialize)]
struct Batch {
    t_us: u64,
    events: Vec<In>,
}

#[derive(Deserialize)]
struct Line {
    streamer: String,
    az: String,
    model: String,
    cell: f64,
    stage_state: String,
    scale: Option<f64>,
    started_at_us: Option<f64>,
}

#[derive(Deserialize)]
struct Ask {
    controller_id: u64,
    request_id: u64,
    item: Option<String>,
    #[serde(default)]
    again_by_client: Option<bool>,
    band: String,
    max_rung: Option<f64>,
    left_us: Option<f64>,
    cells_in_row: Option<f64>,
    billing: Option<Value>,
    start_cell: Option<f64>,
    returned: Option<bool>,
    name_key: Option<String>,
    streamer: Option<String>,
}

#[derive(Deserialize)]
#[serde(tag = "t")]
enum In {
    Configure {
        controller_id: u64,
        nonce64: u64,
        info: Box<RawSettings>,
    },
    Exit {
        controller_id: u64,
    },
    Pool {
        #[serde(rename = "ref")]
        number: u64,
        members_list: Vec<Line>,
    },
    Announce {
        controller_id: u64,
        #[serde(rename = "ref")]
        number: Option<u64>,
        scope: String,
    },
    Inbound(Ask),
    Preexisting(Ask),
    Started {
        controller_id: u64,
        request_id: u64,
        streamer: String,
        latency_us: u64,
    },
    UpdateOf {
        controller_id: u64,
        request_id: u64,
        streamer: String,
        sort: u64,
        amount: f64,
    },
    Result {
        controller_id: u64,
        request_id: u64,
        go: u32,
        streamer: String,
        code: String,
        last: bool,
        pressure: Option<BTreeMap<String, Value>>,
    },
    ClientGone {
        controller_id: u64,
        request_id: u64,
    },
    PingResult {
        controller_id: u64,
        streamer: String,
        code: String,
        pressure: Option<BTreeMap<String, Value>>,
    },
    Reminder {
        controller_id: u64,
        tag: String,
    },
    Message {
        controller_id: u64,
    },
}

#[derive(Serialize)]
#[serde(tag = "t")]
enum Out<'a> {
    Send { controller_id: u64, request_id: u64, streamer: &'a str, try_for_us: u64 },
    Pitch { controller_id: u64, request_id: u64, step: usize },
    Busy { controller_id: u64, request_id: u64, hold_off_us: u64 },
    EndFailed { controller_id: u64, request_id: u64 },
    Move { controller_id: u64, request_id: u64 },
    Probe { controller_id: u64, streamer: &'a str },
    NotifyMe { controller_id: u64, sleep_for_us: u64, tag: String },
    Track { controller_id: u64, want: bool },
    NoteDown { controller_id: u64, words: &'a str },
}

#[derive(Serialize)]
struct Reply<'a> {
    #[serde(rename = "do")]
    actions: Vec<Out<'a>>,
}

struct Instance {
    controller: Controller,
    names: NameRegistry,
}

/// All instances of one process. They share nothing but the numbered lists of the wire.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<Line>>,
}

fn outcome(code: String) -> Result<Outcome, WireError> {
    Ok(match code.as_str() {
        "Ok" => Outcome::Ok,
        "Failed" => Outcome::Failed,
        "QueueFull" => Outcome::QueueFull,
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::ConnectError,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Canceled,
        "Ignored" => Outcome::Ignored,
        _ => return Err(NameError::word("outcome", &code).into()),
    })
}

fn pressure(values: Option<BTreeMap<String, Value>>) -> LoadReport {
    load_report(|name| values.as_ref()?.get(name).and_then(Value::as_f64))
}

impl Instance {
    fn request(&mut self, ask: &Ask) -> Result<Request, NameError> {
        self.names.request(&NamedRequest {
            id: ask.request_id,
            class: &ask.band,
            tenant: ask.billing.as_ref().and_then(Value::as_str),
            title: ask.item.as_deref().unwrap_or(""),
            viewer: ask.name_key.as_deref().unwrap_or(""),
            start_cell: whole_or_zero(ask.start_cell) as u32,
            cells_in_row: whole_or_zero(ask.cells_in_row) as u32,
            max_rung: ask.max_rung.map(|r| r.max(0.0) as usize),
            left_us: whole_or_zero(ask.left_us),
            returned: ask.returned.unwrap_or(false) || ask.again_by_client.unwrap_or(false),
        })
    }

    fn entry(&mut self, line: &Line) -> Result<Entry, NameError> {
        let standing = match line.stage_state.as_str() {
            "U" => Standing::Up,
            "L" => Standing::Draining,
            "D" => Standing::Gone,
            word => return Err(NameError::word("standing", word)),
        };
        Ok(self.names.entry(&NamedEntry {
            streamer: &line.streamer,
            zone: &line.az,
            kind: &line.model,
            cell: whole_or_zero(Some(line.cell)) as u32,
            standing,
            weight: line.scale,
            started_at: whole_or_zero(line.started_at_us),
        }))
    }

    fn say<'a>(streamers: &'a Interner, me: u64, action: &'a Action) -> Out<'a> {
        let name = |s: &StreamerId| streamers.resolve(s.0).unwrap_or("");
        match action {
            Action::Send { request, streamer, try_for_us } => Out::Send {
                controller_id: me,
                request_id: request.0,
                streamer: name(streamer),
                try_for_us: *try_for_us,
            },
            Action::Rate { request, rung } => {
                Out::Pitch { controller_id: me, request_id: request.0, step: *rung }
            }
            Action::Refuse { request, hold_off_us } => {
                Out::Busy { controller_id: me, request_id: request.0, hold_off_us: *hold_off_us }
            }
            Action::EndFailed(request) => Out::EndFailed { controller_id: me, request_id: request.0 },
            Action::Move(request) => Out::Move { controller_id: me, request_id: request.0 },
            Action::Probe(streamer) => Out::Probe { controller_id: me, streamer: name(streamer) },
            Action::Timer { after_us, tag } => {
                Out::NotifyMe { controller_id: me, sleep_for_us: *after_us, tag: tag.0.to_string() }
            }
            Action::Subscribe => Out::Track { controller_id: me, want: true },
            Action::Log(words) => Out::NoteDown { controller_id: me, words },
        }
    }
}

impl Host {
    /// Answers one batch, a line of JSON, with one line of JSON.
    pub fn batch(&mut self, line: &str) -> Result<String, WireError> {
        let batch: Batch = serde_json::from_str(line)?;
        let now = batch.t_us;
        let mut done: Vec<(u64, Vec<Action>)> = Vec::new();
        for event in batch.events {
            if let In::Exit { controller_id } | In::Configure { controller_id, .. } = &event {
                done.retain(|(me, _)| me != controller_id); // a killed instance no longer acts
            }
            let mut actions = Vec::new();
            let me = self.event(now, event, &mut actions)?;
            if let Some(me) = me.filter(|_| !actions.is_empty()) {
                done.push((me, actions));
            }
        }
        let mut reply = Reply { actions: Vec::new() };
        for (me, actions) in &done {
            if let Some(instance) = self.instances.get(me) {
                reply
                    .actions
                    .extend(actions.iter().map(|a| Instance::say(&instance.names.streamers, *me, a)));
            }
        }
        Ok(serde_json::to_string(&reply)?)
    }

    fn event(&mut self, now: u64, event: In, out: &mut Vec<Action>) -> Result<Option<u64>, WireError> {
        let me = match &event {
            In::Pool { .. } => 0,
            In::Inbound(ask) | In::Preexisting(ask) => ask.controller_id,
            In::Configure { controller_id, .. }
            | In::Exit { controller_id }
            | In::Announce { controller_id, .. }
            | In::Started { controller_id, .. }
            | In::UpdateOf { controller_id, .. }
            | In::Result { controller_id, .. }
            | In::ClientGone { controller_id, .. }
            | In::PingResult { controller_id, .. }
            | In::Reminder { controller_id, .. }
            | In::Message { controller_id } => *controller_id,
        };
        match event {
            In::Configure { nonce64, info, .. } => {
                let (settings, names, _) = NameRegistry::read(&info)?;
                let instance = Instance { controller: Controller::new(settings, nonce64, now)?, names };
                self.instances.insert(me, instance);
                return Ok(None);
            }
            In::Exit { .. } => {
                self.instances.remove(&me);
                return Ok(None);
            }
            In::Pool { number, members_list } => {
                self.lists.insert(number, members_list);
                return Ok(None);
            }
            _ => {}
        }
        let instance = self.instances.get_mut(&me).ok_or(WireError::UnknownController(me))?;
        let event = match event {
            In::Announce { number, scope, .. } => {
                let scope = match scope.as_str() {
                    "delta" => ListScope::Delta,
                    "full" => ListScope::Full,
                    "cached" => ListScope::Cached,
                    "failed" => ListScope::Failed,
                    _ => return Err(NameError::word("scope", &scope).into()),
                };
                let mut entries = Vec::new();
                if scope != ListScope::Failed {
                    let number = number.unwrap_or(u64::MAX);
                    let list = self.lists.get(&number).ok_or(WireError::UnknownList(number))?;
                    for line in list {
                        entries.push(instance.entry(line)?);
                    }
                }
                Event::List { scope, entries }
            }
            In::Inbound(ask) => Event::Inbound(instance.request(&ask)?),
            In::Preexisting(ask) => {
                let streamer = instance.names.streamers.intern(ask.streamer.as_deref().unwrap_or(""));
                Event::Preexisting(instance.request(&ask)?, StreamerId(streamer))
            }
            In::Started { request_id, streamer, latency_us, .. } => Event::Started {
                request: RequestId(request_id),
                streamer: StreamerId(instance.names.streamers.intern(&streamer)),
                latency_us,
            },
            In::UpdateOf { request_id, streamer, sort, amount, .. } => Event::Note {
                request: RequestId(request_id),
                streamer: StreamerId(instance.names.streamers.intern(&streamer)),
                kind: match sort {
                    1 => NoteKind::Delivered,
                    2 => NoteKind::Rung,
                    3 => NoteKind::LinkUse,
                    4 => NoteKind::UplinkUse,
                    _ => return Ok(None),
                },
                value: amount,
            },
            In::Result { request_id, go, streamer, code, last, pressure: load, .. } => Event::Ended {
                request: RequestId(request_id),
                attempt: go,
                streamer: StreamerId(instance.names.streamers.intern(&streamer)),
                outcome: outcome(code)?,
                last,
                report: pressure(load),
            },
            In::ClientGone { request_id, .. } => Event::ClientGone(RequestId(request_id)),
            In::PingResult { streamer, code, pressure: load, .. } => Event::Probed {
                streamer: StreamerId(instance.names.streamers.intern(&streamer)),
                outcome: outcome(code)?,
                report: pressure(load),
            },
            In::Reminder { tag, .. } => match tag.parse() {
                Ok(tag) => Event::Timer(TimerTag(tag)),
                Err(_) => return Ok(None),
            },
            _ => return Ok(None),
        };
        instance.controller.handle(now, event, out);
        Ok(Some(me))
    }
}
