//! Translates between the simulator's JSON messages and the types of the decision module. Contains no
//! decision logic.
use crate::Controller;
use crate::interface::*;
use crate::settings::{
    Interner, NameError, NameRegistry, NamedEntry, NamedRequest, RawSettings, load_report, whole_or_zero,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Why a batch cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Not JSON, an unknown event, or a missing or mistyped field.
    #[error("bad message: {0}")]
    Json(#[from] serde_json::Error),
    /// An event for a controller that is not configured.
    #[error("event for unknown controller {0}")]
    UnknownController(u64),
    /// An `Announce` refers to a list that no `Pool` event has defined.
    #[error("unknown list {0}")]
    UnknownMemberList(u64),
    /// An unknown name or keyword, or unusable settings.
    #[error(transparent)]
    Name(#[from] NameError),
    /// Settings that the decision module rejects.
    #[error("unusable settings: {0}")]
    Settings(#[from] SettingsError),
}

/// A batch of simultaneous events, as one line of input.
#[derive(Deserialize)]
struct EventBatch {
    t_us: u64,
    events: Vec<InboundEvent>,
}

/// One streamer of a list.
#[derive(Deserialize)]
struct MemberMessage {
    streamer: String,
    az: String,
    model: String,
    cell: f64,
    stage_state: String,
    scale: Option<f64>,
    started_at_us: Option<f64>,
}

/// A session request, or a session that already plays.
#[derive(Deserialize)]
struct SessionMessage {
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

/// An event from the simulator.
#[derive(Deserialize)]
#[serde(tag = "t")]
enum InboundEvent {
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
        members_list: Vec<MemberMessage>,
    },
    Announce {
        controller_id: u64,
        #[serde(rename = "ref")]
        number: Option<u64>,
        scope: String,
    },
    Inbound(SessionMessage),
    Preexisting(SessionMessage),
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

/// An action for the simulator to carry out.
#[derive(Serialize)]
#[serde(tag = "t")]
enum OutboundAction<'a> {
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

/// The answer to a batch, as one line of output.
#[derive(Serialize)]
struct ActionBatch<'a> {
    #[serde(rename = "do")]
    actions: Vec<OutboundAction<'a>>,
}

/// One controller and the names that it knows.
struct Instance {
    controller: Controller,
    names: NameRegistry,
}

/// All controllers of one process. They share only the numbered streamer lists of the wire protocol.
#[derive(Default)]
pub struct ControllerHost {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<MemberMessage>>,
}

fn parse_outcome(code: String) -> Result<Outcome, WireError> {
    Ok(match code.as_str() {
        "Ok" => Outcome::Ok,
        "Failed" => Outcome::Failed,
        "QueueFull" => Outcome::QueueFull,
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::ConnectError,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Canceled,
        "Ignored" => Outcome::Ignored,
        _ => return Err(NameError::unknown_name("outcome", &code).into()),
    })
}

fn parse_load_report(values: Option<BTreeMap<String, Value>>) -> LoadReport {
    load_report(|name| values.as_ref()?.get(name).and_then(Value::as_f64))
}

impl Instance {
    fn request(&mut self, message: &SessionMessage) -> Result<Request, NameError> {
        self.names.request(&NamedRequest {
            id: message.request_id,
            class: &message.band,
            tenant: message.billing.as_ref().and_then(Value::as_str),
            title: message.item.as_deref().unwrap_or(""),
            viewer: message.name_key.as_deref().unwrap_or(""),
            start_cell: whole_or_zero(message.start_cell) as u32,
            cells_in_row: whole_or_zero(message.cells_in_row) as u32,
            max_rung: message.max_rung.map(|r| r.max(0.0) as usize),
            left_us: whole_or_zero(message.left_us),
            returned: message.returned.unwrap_or(false) || message.again_by_client.unwrap_or(false),
        })
    }

    fn entry(&mut self, member: &MemberMessage) -> Result<Entry, NameError> {
        let standing = match member.stage_state.as_str() {
            "U" => Standing::Up,
            "L" => Standing::Draining,
            "D" => Standing::Gone,
            state => return Err(NameError::unknown_name("standing", state)),
        };
        Ok(self.names.entry(&NamedEntry {
            streamer: &member.streamer,
            zone: &member.az,
            kind: &member.model,
            cell: whole_or_zero(Some(member.cell)) as u32,
            standing,
            weight: member.scale,
            started_at: whole_or_zero(member.started_at_us),
        }))
    }

    fn encode<'a>(streamers: &'a Interner, controller_id: u64, action: &'a Action) -> OutboundAction<'a> {
        let name = |s: &StreamerId| streamers.resolve(s.0).unwrap_or("");
        match action {
            Action::Send { request, streamer, try_for_us } => OutboundAction::Send {
                controller_id,
                request_id: request.0,
                streamer: name(streamer),
                try_for_us: *try_for_us,
            },
            Action::Rate { request, rung } => {
                OutboundAction::Pitch { controller_id, request_id: request.0, step: *rung }
            }
            Action::Refuse { request, hold_off_us } => {
                OutboundAction::Busy { controller_id, request_id: request.0, hold_off_us: *hold_off_us }
            }
            Action::EndFailed(request) => OutboundAction::EndFailed { controller_id, request_id: request.0 },
            Action::Move(request) => OutboundAction::Move { controller_id, request_id: request.0 },
            Action::Probe(streamer) => OutboundAction::Probe { controller_id, streamer: name(streamer) },
            Action::Timer { after_us, tag } => {
                OutboundAction::NotifyMe { controller_id, sleep_for_us: *after_us, tag: tag.0.to_string() }
            }
            Action::Subscribe => OutboundAction::Track { controller_id, want: true },
            Action::Log(words) => OutboundAction::NoteDown { controller_id, words },
        }
    }
}

impl ControllerHost {
    /// Handles one batch of events, a line of JSON, and returns the actions as one line of JSON.
    pub fn handle_batch(&mut self, line: &str) -> Result<String, WireError> {
        let batch: EventBatch = serde_json::from_str(line)?;
        let now = batch.t_us;
        let mut actions_by_controller: Vec<(u64, Vec<Action>)> = Vec::new();
        for event in batch.events {
            if let InboundEvent::Exit { controller_id } | InboundEvent::Configure { controller_id, .. } =
                &event
            {
                // A controller that exited or was replaced must not act any more.
                actions_by_controller.retain(|(id, _)| id != controller_id);
            }
            let mut actions = Vec::new();
            let acting = self.handle_event(now, event, &mut actions)?;
            if let Some(id) = acting.filter(|_| !actions.is_empty()) {
                actions_by_controller.push((id, actions));
            }
        }
        let mut reply = ActionBatch { actions: Vec::new() };
        for (id, actions) in &actions_by_controller {
            if let Some(instance) = self.instances.get(id) {
                reply
                    .actions
                    .extend(actions.iter().map(|a| Instance::encode(&instance.names.streamers, *id, a)));
            }
        }
        Ok(serde_json::to_string(&reply)?)
    }

    /// Handles one event. Appends the actions to `out`; returns the controller's id if it handled the event.
    fn handle_event(
        &mut self,
        now: u64,
        event: InboundEvent,
        out: &mut Vec<Action>,
    ) -> Result<Option<u64>, WireError> {
        let controller_id = match &event {
            InboundEvent::Pool { .. } => 0,
            InboundEvent::Inbound(message) | InboundEvent::Preexisting(message) => message.controller_id,
            InboundEvent::Configure { controller_id, .. }
            | InboundEvent::Exit { controller_id }
            | InboundEvent::Announce { controller_id, .. }
            | InboundEvent::Started { controller_id, .. }
            | InboundEvent::UpdateOf { controller_id, .. }
            | InboundEvent::Result { controller_id, .. }
            | InboundEvent::ClientGone { controller_id, .. }
            | InboundEvent::PingResult { controller_id, .. }
            | InboundEvent::Reminder { controller_id, .. }
            | InboundEvent::Message { controller_id } => *controller_id,
        };
        match event {
            InboundEvent::Configure { nonce64, info, .. } => {
                let (settings, names, _) = NameRegistry::read(&info)?;
                let instance = Instance { controller: Controller::new(settings, nonce64, now)?, names };
                self.instances.insert(controller_id, instance);
                return Ok(None);
            }
            InboundEvent::Exit { .. } => {
                self.instances.remove(&controller_id);
                return Ok(None);
            }
            InboundEvent::Pool { number, members_list } => {
                self.lists.insert(number, members_list);
                return Ok(None);
            }
            _ => {}
        }
        let instance =
            self.instances.get_mut(&controller_id).ok_or(WireError::UnknownController(controller_id))?;
        let event = match event {
            InboundEvent::Announce { number, scope, .. } => {
                let scope = match scope.as_str() {
                    "delta" => ListScope::Delta,
                    "full" => ListScope::Full,
                    "cached" => ListScope::Cached,
                    "failed" => ListScope::Failed,
                    _ => return Err(NameError::unknown_name("scope", &scope).into()),
                };
                let mut entries = Vec::new();
                if scope != ListScope::Failed {
                    let number = number.unwrap_or(u64::MAX);
                    let list = self.lists.get(&number).ok_or(WireError::UnknownMemberList(number))?;
                    for member in list {
                        entries.push(instance.entry(member)?);
                    }
                }
                Event::List { scope, entries }
            }
            InboundEvent::Inbound(message) => Event::Inbound(instance.request(&message)?),
            InboundEvent::Preexisting(message) => {
                let streamer = instance.names.streamers.intern(message.streamer.as_deref().unwrap_or(""));
                Event::Preexisting(instance.request(&message)?, StreamerId(streamer))
            }
            InboundEvent::Started { request_id, streamer, latency_us, .. } => Event::Started {
                request: RequestId(request_id),
                streamer: StreamerId(instance.names.streamers.intern(&streamer)),
                latency_us,
            },
            InboundEvent::UpdateOf { request_id, streamer, sort, amount, .. } => Event::Note {
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
            InboundEvent::Result { request_id, go, streamer, code, last, pressure: load, .. } => {
                Event::Ended {
                    request: RequestId(request_id),
                    attempt: go,
                    streamer: StreamerId(instance.names.streamers.intern(&streamer)),
                    outcome: parse_outcome(code)?,
                    last,
                    report: parse_load_report(load),
                }
            }
            InboundEvent::ClientGone { request_id, .. } => Event::ClientGone(RequestId(request_id)),
            InboundEvent::PingResult { streamer, code, pressure: load, .. } => Event::Probed {
                streamer: StreamerId(instance.names.streamers.intern(&streamer)),
                outcome: parse_outcome(code)?,
                report: parse_load_report(load),
            },
            InboundEvent::Reminder { tag, .. } => match tag.parse() {
                Ok(tag) => Event::Timer(TimerTag(tag)),
                Err(_) => return Ok(None),
            },
            _ => return Ok(None),
        };
        instance.controller.handle(now, event, out);
        Ok(Some(controller_id))
    }
}
