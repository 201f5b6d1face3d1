//! Interface of the decision module: settings, events, actions and outcomes. Data types, no decision logic.

/// A point in time or a duration on the controller's clock, in microseconds.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty)),* $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A session request; an id is never reused.
    RequestId(u64),
    /// A streamer (media server); it keeps its id across restarts of its process.
    StreamerId(u32),
    /// A title: the content that is watched.
    TitleId(u32),
    /// A viewer; the id is the same for all attempts of one viewer.
    ViewerId(u32),
    /// Index into [`Settings::classes`].
    ClassId(usize),
    /// Index into [`Settings::tenants`].
    TenantId(usize),
    /// Index into [`Settings::max_streams_by_kind`].
    KindId(usize),
    /// A zone.
    ZoneId(u32),
    /// Identifies a timer; chosen by the controller.
    TimerTag(u64),
}

/// Whether a set-up of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeating a set-up is harmless.
    Idempotent,
    /// A session must be set up at most once.
    AtMostOnce,
    /// Repeats are recognised within a group of streamers and a time window.
    Deduplicated,
}

/// Which streamers recognise a repeated set-up of an [`Effect::Deduplicated`] class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Any streamer.
    All,
    /// Streamers of the same zone.
    Zone,
    /// Streamers of the same cell.
    Cell,
}

impl DedupScope {
    /// Whether streamer `next` recognises a repeat of an attempt that was made at streamer `first`.
    pub fn covers(self, first: &Entry, next: &Entry) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => first.zone == next.zone,
            DedupScope::Cell => first.cell == next.cell,
        }
    }
}

/// A class of sessions.
#[derive(Clone, Debug)]
pub struct Class {
    /// Value of one second of playback at a rung of worth 1.
    pub worth: f64,
    /// Target time for a set-up.
    pub target_us: Micros,
    /// Whether a set-up may be repeated.
    pub effect: Effect,
    /// The streamers among which a repeat is recognised.
    pub dedup_scope: DedupScope,
    /// How long a repeat is recognised.
    pub repeat_window_us: Micros,
    /// Factor from the rates of the ladder to the rates of this class.
    pub scale: f64,
    /// The lowest rung that a session may play at.
    pub lowest_rung: usize,
    /// The highest rung that a session may play at.
    pub highest_rung: usize,
    /// Sessions of one title that one controller may have at a time; 0 = no limit.
    pub max_sessions_per_title: usize,
    /// Titles are live, so viewers may share a stream.
    pub live: bool,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within the tenant's share, summed over all controllers.
    pub quota_per_s: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportMode {
    /// Outcomes of attempts and probe results.
    InAnswers,
    /// Probe results only.
    ProbeOnly,
    /// There are no load reports.
    #[default]
    Silent,
}

/// The settings that a controller is started with.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Index of this controller, from 0.
    pub controller_index: u32,
    /// Number of controllers.
    pub controllers: u32,
    /// The session classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic beyond a tenant's share, as a fraction of its usual worth.
    pub over_share_worth: f64,
    /// Rate of each rung in kB a second, in ascending order.
    pub ladder_kb: Vec<f64>,
    /// Worth of each rung, at most 1.
    pub ladder_worth: Vec<f64>,
    /// Capacity of all links together at the start, kB a second.
    pub fleet_kb: f64,
    /// Mean uplink capacity of a rack, kB a second.
    pub rack_kb: f64,
    /// Number of racks; a streamer's rack is its cell modulo this.
    pub racks: u32,
    /// Number of cells.
    pub cells: u32,
    /// Link capacity of a streamer for each unit of its weight, kB a second.
    pub weight_kb: f64,
    /// Maximum number of streams that a streamer of each kind runs.
    pub max_streams_by_kind: Vec<u32>,
    /// Link demand, relative to capacity, from which a streamer rejects set-ups; 0 = never.
    pub reject_from_link_demand: f64,
    /// Load that a further viewer of a live title adds, as a fraction of the rate; 1 = nothing is shared.
    pub shared_viewer_load: f64,
    /// Cost of a change of rung, in seconds of the class's worth.
    pub rung_change_cost_s: f64,
    /// Delay of notes on delivery.
    pub note_delay_us: Micros,
    /// Interval between notes on link use; 0 = there are none.
    pub note_interval_us: Micros,
    /// The source of load reports.
    pub report_mode: ReportMode,
    /// Whether probes are permitted.
    pub probes: bool,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// The longest retry delay that clients obey; 0 = retry hints do not reach clients.
    pub max_hold_off_us: Micros,
    /// Fraction of its capacity that a cold streamer starts with at least.
    pub cold_capacity_fraction: f64,
    /// Time after its start by which a streamer is warm.
    pub warm_up_us: Micros,
    /// Multiple of its present capacity at which a streamer fails.
    pub overload_failure_multiple: f64,
    /// Whether discovery answers only on request.
    pub discovery_on_request: bool,
    /// Longest time that a controller may go without asking discovery.
    pub max_discovery_interval_us: Micros,
    /// The budget of retries, if one is set.
    pub attempt_budget: Option<crate::AttemptBudget>,
    /// This controller's zone.
    pub zone: ZoneId,
    /// Price of a session that crosses zones, as a fraction of its worth.
    pub cross_zone_price: f64,
    /// Price of one probe, as a fraction of a session's worth.
    pub probe_price: f64,
    /// Price of a new connection, as a fraction of a session's worth.
    pub handshake_price: f64,
    /// How long after a set-up its connection accepts further set-ups.
    pub connection_reuse_us: Micros,
    /// Price of moving a session, as a fraction of the session's worth.
    pub move_price: f64,
}

/// Why settings are unusable for a controller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no session class.
    #[error("settings define no session class")]
    NoClasses,
    /// The ladder has no rung, or its rates and worths differ in number.
    #[error("the ladder is empty, or its rates and worths differ in number")]
    BadLadder,
    /// A rate, worth, scale or capacity is not a finite positive number, or there are no cells or racks.
    #[error("{0} must be a positive number")]
    NotPositive(&'static str),
    /// The rung limits of a class leave it no rung.
    #[error("class {0} may use no rung of the ladder")]
    NoRung(usize),
    /// The index of this controller is not below the number of controllers.
    #[error("controller index {index} is not below the number of controllers, {controllers}")]
    NoSuchController {
        /// Index of this controller.
        index: u32,
        /// Number of controllers.
        controllers: u32,
    },
}

impl Settings {
    /// Checks that a controller can work with these settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        let (rungs, index, controllers) = (self.ladder_kb.len(), self.controller_index, self.controllers);
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let require = |what, ok: bool| if ok { Ok(()) } else { Err(SettingsError::NotPositive(what)) };
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if rungs == 0 || rungs != self.ladder_worth.len() {
            return Err(SettingsError::BadLadder);
        }
        let mut ladder = self.ladder_kb.iter().chain(&self.ladder_worth);
        require("every rate and worth of the ladder", ladder.all(|&x| positive(x)))?;
        require("the fleet's capacity", positive(self.fleet_kb))?;
        require("a rack's uplink", positive(self.rack_kb))?;
        require("a link for a unit of weight", positive(self.weight_kb))?;
        require("the number of cells and racks", self.racks > 0 && self.cells > 0)?;
        for (i, class) in self.classes.iter().enumerate() {
            if class.lowest_rung >= rungs || class.lowest_rung > class.highest_rung {
                return Err(SettingsError::NoRung(i));
            }
            require("a class's worth and scale", positive(class.scale) && positive(class.worth))?;
        }
        if index >= controllers {
            return Err(SettingsError::NoSuchController { index, controllers });
        }
        Ok(())
    }

    /// The rack that a streamer is in.
    pub fn rack_of(&self, entry: &Entry) -> u32 {
        entry.cell % self.racks
    }

    /// Maximum number of streams of a streamer; for an unknown kind, that of the smallest kind.
    pub fn max_streams(&self, entry: &Entry) -> f64 {
        let smallest = self.max_streams_by_kind.iter().min().copied().unwrap_or(u32::MAX);
        f64::from(entry.kind.and_then(|k| self.max_streams_by_kind.get(k.0).copied()).unwrap_or(smallest))
    }

    /// Whether a streamer stores the title of a request.
    pub fn holds_title(&self, request: &Request, entry: &Entry) -> bool {
        let (cells, start) = (self.cells, request.start_cell % self.cells);
        (entry.cell % cells + cells - start) % cells < request.cells_in_row
    }

    /// Rate of a class at a rung, in kB a second.
    pub fn rate_kb(&self, class: ClassId, rung: usize) -> f64 {
        self.ladder_kb[rung.min(self.ladder_kb.len() - 1)] * self.classes[class.0].scale
    }

    /// The highest rung that a request may play at, but no less than the lowest rung of its class.
    pub fn top_rung(&self, request: &Request) -> usize {
        let class = &self.classes[request.class.0];
        class.highest_rung.min(request.max_rung).min(self.ladder_kb.len() - 1).max(class.lowest_rung)
    }
}

/// The state of a streamer according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// Running.
    #[default]
    Up,
    /// Finishing its sessions; accepts no new ones.
    Draining,
    /// Removed from the fleet.
    Gone,
}

/// One streamer in the list from discovery.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The streamer.
    pub streamer: StreamerId,
    /// The zone that it is in.
    pub zone: ZoneId,
    /// Its kind, if the settings name it.
    pub kind: Option<KindId>,
    /// The cell that it is in.
    pub cell: u32,
    /// Its state according to discovery.
    pub standing: Standing,
    /// Its weight, which scales its link capacity.
    pub weight: f64,
    /// When it last started; `None` if that was long ago.
    pub started_at: Option<Micros>,
}

/// What the entries of a streamer list cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the entries that changed.
    Delta,
    /// All streamers.
    Full,
    /// All streamers as last known, possibly out of date.
    Cached,
    /// The call to discovery failed; there are no entries.
    Failed,
}

/// A viewer's request for a session, or a session that was handed over to this controller.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the session.
    pub class: ClassId,
    /// Tenant of the session, if any.
    pub tenant: Option<TenantId>,
    /// The title to watch.
    pub title: TitleId,
    /// The viewer.
    pub viewer: ViewerId,
    /// First cell that stores the title.
    pub start_cell: u32,
    /// Number of consecutive cells that store the title.
    pub cells_in_row: u32,
    /// The highest rung that the viewer can play.
    pub max_rung: usize,
    /// How much longer the viewer waits for an answer.
    pub left_us: Micros,
    /// The viewer returns after a refusal, an interruption or a move, or the client marked a repeat.
    pub returned: bool,
    /// Other requests awaiting an answer on the same connection, where the front end knows the number.
    pub beside: usize,
}

/// Values of a streamer's load report; absent values are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Streams that the streamer runs or sets up.
    pub streams: Option<f64>,
    /// Demand on its link relative to capacity, capped at 1.
    pub link_capped: Option<f64>,
    /// Demand on its link relative to capacity, uncapped.
    pub link: Option<f64>,
    /// Demand on the uplink of its rack relative to capacity, uncapped.
    pub uplink: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Success.
    Ok,
    /// Error response; the attempt may have run.
    Failed,
    /// Rejected before it was processed.
    QueueFull,
    /// No answer in time; the attempt may have run.
    TimedOut,
    /// The connection could not be established.
    ConnectError,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The connection was closed because of unreadable data; the attempt may have run.
    Garbled,
    /// Cancelled; the attempt may have run.
    Canceled,
    /// The attempt was never sent.
    Ignored,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::QueueFull | Outcome::ConnectError | Outcome::Ignored)
    }
}

/// What the value of a note on a session means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteKind {
    /// Fraction of their rates that was delivered to the sessions at this streamer.
    Delivered,
    /// The rung that the session plays at.
    Rung,
    /// Demand on the streamer's link relative to capacity.
    LinkUse,
    /// Demand on the uplink of its rack relative to capacity.
    UplinkUse,
}

/// Input of a controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of streamers from discovery, or its failure.
    List {
        /// What the entries cover.
        scope: ListScope,
        /// The streamers listed.
        entries: Vec<Entry>,
    },
    /// A viewer requests a session.
    Inbound(Request),
    /// A session that already plays when the controller starts, and its streamer.
    Preexisting(Request, StreamerId),
    /// A set-up succeeded.
    Started {
        /// The request.
        request: RequestId,
        /// The streamer.
        streamer: StreamerId,
        /// Duration of the set-up.
        latency_us: Micros,
    },
    /// A measurement of a session or of its streamer.
    Note {
        /// The request.
        request: RequestId,
        /// The streamer.
        streamer: StreamerId,
        /// What the value means.
        kind: NoteKind,
        /// The value.
        value: f64,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The streamer.
        streamer: StreamerId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request has ended, so that no answer is due.
        last: bool,
        /// The load report in the answer.
        report: LoadReport,
    },
    /// The client disconnected; no answer is due.
    ClientGone(RequestId),
    /// The result of a probe.
    Probed {
        /// The streamer.
        streamer: StreamerId,
        /// How it ended.
        outcome: Outcome,
        /// The load report in the answer.
        report: LoadReport,
    },
    /// The result of connecting to a streamer, whether or not an attempt required the connection.
    ConnectResult {
        /// The streamer.
        streamer: StreamerId,
        /// Whether the connection was established.
        connected: bool,
    },
    /// A timer expired.
    Timer(TimerTag),
}

/// Output of a controller, to be carried out by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up request for the session to a streamer.
    Send {
        /// The request.
        request: RequestId,
        /// The streamer.
        streamer: StreamerId,
        /// Timeout of the attempt.
        try_for_us: Micros,
    },
    /// Set the rung of the session.
    Rate {
        /// The request.
        request: RequestId,
        /// The rung to set.
        rung: usize,
    },
    /// Final answer: the request is refused, with a hint when to retry.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries.
        hold_off_us: Micros,
    },
    /// Final answer: the request failed; it is not known whether an attempt took effect.
    EndFailed(RequestId),
    /// Release the session from its streamer; the viewer then returns to this controller.
    Move(RequestId),
    /// Send a probe to a streamer to get its load.
    Probe(StreamerId),
    /// Start a timer.
    Timer {
        /// Time until it expires.
        after_us: Micros,
        /// Tag that the expiry event carries.
        tag: TimerTag,
    },
    /// Subscribe to discovery.
    Subscribe,
    /// A log line for operators.
    Log(String),
}
