//! The module's interface: settings, events, actions and outcomes. Plain types, no decisions.

/// A moment or a span of the controller's clock, in microseconds.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty)),* $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// One request for a session; never used twice.
    RequestId(u64),
    /// A streamer (media server); keeps its id when its process restarts.
    StreamerId(u32),
    /// A title (what is watched).
    TitleId(u32),
    /// A viewer; stays the same over all of a viewer's tries.
    ViewerId(u32),
    /// Index into [`Settings::classes`].
    ClassId(usize),
    /// Index into [`Settings::tenants`].
    TenantId(usize),
    /// Index into [`Settings::max_streams_by_kind`].
    KindId(usize),
    /// A zone.
    ZoneId(u32),
    /// Names a timer; picked by the controller.
    TimerTag(u64),
}

/// What a repeated set-up of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be set up again without harm.
    Idempotent,
    /// Must be set up once at most.
    AtMostOnce,
    /// Repeats are recognised within a group of streamers and a window.
    Deduplicated,
}

/// Which streamers recognise a repeat of a [`Effect::Deduplicated`] class.
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
    /// Whether a repeat at one streamer is recognised after an attempt at the other.
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
    /// Worth of one second at a rung of worth 1.
    pub worth: f64,
    /// Usual bound for a set-up.
    pub target_us: Micros,
    /// What a repeat may do.
    pub effect: Effect,
    /// Where a repeat is recognised.
    pub dedup_scope: DedupScope,
    /// For how long a repeat is recognised.
    pub repeat_window_us: Micros,
    /// Its rates over those of the ladder.
    pub scale: f64,
    /// The lowest rung that may be set.
    pub lowest_rung: usize,
    /// The highest rung.
    pub highest_rung: usize,
    /// Sessions of one title that one controller may hold; 0 = no cap.
    pub max_sessions_per_title: usize,
    /// Titles are live: viewers may share a stream.
    pub live: bool,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its share, over all controllers.
    pub quota_per_s: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportMode {
    /// In outcomes and probe results.
    InAnswers,
    /// In probe results alone.
    ProbeOnly,
    /// Nowhere.
    #[default]
    Silent,
}

/// What a controller is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// This controller's number, from 0.
    pub controller_index: u32,
    /// How many controllers there are.
    pub controllers: u32,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic past a tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// Rate of each rung, kB a second, rising.
    pub ladder_kb: Vec<f64>,
    /// What each rung earns, 1 at most.
    pub ladder_worth: Vec<f64>,
    /// All links together at the start, kB a second.
    pub fleet_kb: f64,
    /// Mean uplink of a rack, kB a second.
    pub rack_kb: f64,
    /// Number of racks; a streamer's rack is its cell modulo this.
    pub racks: u32,
    /// Number of cells.
    pub cells: u32,
    /// Link of a streamer for each unit of its weight, kB a second.
    pub weight_kb: f64,
    /// For each kind: streams that it runs at most.
    pub max_streams_by_kind: Vec<u32>,
    /// A streamer turns set-ups away while so much of its link is asked; 0 = never.
    pub full_from: f64,
    /// What a further viewer of a live title adds, as a part of the rate; 1 = nothing is shared.
    pub shared_adds: f64,
    /// A change of rung costs so many seconds of the class's worth.
    pub switch_s: f64,
    /// How late notes of delivery are.
    pub seen_after_us: Micros,
    /// Time between notes of link use; 0 = none.
    pub reports_every_us: Micros,
    /// Where load reports come from.
    pub reports: ReportMode,
    /// Probes are permitted.
    pub probes: bool,
    /// Attempts one request may have.
    pub max_attempts: u32,
    /// The longest hold-off a client follows; 0 = hints do not reach clients.
    pub max_hold_off_us: Micros,
    /// A cold streamer begins at no less than this part of its capacity.
    pub cold_from: f64,
    /// It is warm no later than this after its start.
    pub warm_up_us: Micros,
    /// It falls over at this multiple of its present capacity.
    pub fall_multiple: f64,
    /// Discovery must be asked.
    pub discovery_on_request: bool,
    /// How long a controller may go without asking.
    pub ask_within_us: Micros,
    /// The ration of further attempts, where one is stated.
    pub attempt_budget: Option<crate::AttemptBudget>,
    /// This controller's zone.
    pub my_zone: ZoneId,
    /// Points taken off for a session that crosses zones, as a part of its worth.
    pub cross_zone_price: f64,
    /// Price of one probe, as a part of a session's worth.
    pub probe_price: f64,
    /// Price of a new connection, as a part of a session's worth.
    pub handshake_price: f64,
    /// For so long after a set-up its connection takes further ones.
    pub connection_reuse_us: Micros,
    /// Price of a moved session, as a part of a session's worth.
    pub move_price: f64,
}

/// Settings that no controller can work with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class.
    #[error("settings name no class of session")]
    NoClasses,
    /// The ladder has no rung, or rates and worths differ in number.
    #[error("the ladder is empty, or its rates and worths differ in number")]
    BadLadder,
    /// A rate, worth or capacity is zero, negative or not a number.
    #[error("{0} must be a positive number")]
    NotPositive(&'static str),
    /// A class may use no rung.
    #[error("class {0} may use no rung of the ladder")]
    NoRung(usize),
    /// There are no controllers, or this one's number is not among them.
    #[error("controller {index} of {controllers} cannot be")]
    NoSuchController {
        /// Its number.
        index: u32,
        /// How many there are.
        controllers: u32,
    },
}

impl Settings {
    /// Whether a controller can work with these settings at all.
    pub fn check(&self) -> Result<(), SettingsError> {
        let rungs = self.ladder_kb.len();
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let need = |what, ok: bool| if ok { Ok(()) } else { Err(SettingsError::NotPositive(what)) };
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if rungs == 0 || rungs != self.ladder_worth.len() {
            return Err(SettingsError::BadLadder);
        }
        let mut ladder = self.ladder_kb.iter().chain(&self.ladder_worth);
        need("every rate and worth of the ladder", ladder.all(|&x| positive(x)))?;
        need("the fleet's capacity", positive(self.fleet_kb))?;
        need("a rack's uplink", positive(self.rack_kb))?;
        need("a link for a unit of weight", positive(self.weight_kb))?;
        need("the number of cells and racks", self.racks > 0 && self.cells > 0)?;
        for (i, class) in self.classes.iter().enumerate() {
            if class.lowest_rung >= rungs || class.lowest_rung > class.highest_rung {
                return Err(SettingsError::NoRung(i));
            }
            need("a class's worth and scale", positive(class.scale) && positive(class.worth))?;
        }
        let (index, controllers) = (self.controller_index, self.controllers);
        if index >= controllers {
            return Err(SettingsError::NoSuchController { index, controllers });
        }
        Ok(())
    }

    /// The rack of a streamer.
    pub fn rack_of(&self, entry: &Entry) -> u32 {
        entry.cell % self.racks
    }

    /// Streams that a streamer runs at most; of an unknown kind, those of the smallest.
    pub fn max_streams(&self, entry: &Entry) -> f64 {
        let least = self.max_streams_by_kind.iter().min().copied().unwrap_or(u32::MAX);
        f64::from(entry.kind.and_then(|k| self.max_streams_by_kind.get(k.0).copied()).unwrap_or(least))
    }

    /// Whether a streamer holds the title of a request.
    pub fn holds_title(&self, request: &Request, entry: &Entry) -> bool {
        let (cells, from) = (self.cells, request.start_cell % self.cells);
        (entry.cell % cells + cells - from) % cells < request.cells_in_row
    }

    /// Rate of a class at a rung, kB a second.
    pub fn rate_kb(&self, class: ClassId, rung: usize) -> f64 {
        self.ladder_kb[rung.min(self.ladder_kb.len() - 1)] * self.classes[class.0].scale
    }

    /// The highest rung that a request may play at; its class's floor where that is higher.
    pub fn top_rung(&self, request: &Request) -> usize {
        let class = &self.classes[request.class.0];
        class.highest_rung.min(request.max_rung).min(self.ladder_kb.len() - 1).max(class.lowest_rung)
    }
}

/// What discovery says of a streamer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It runs.
    #[default]
    Up,
    /// It completes its work.
    Draining,
    /// It was taken away.
    Gone,
}

/// One line of the server list.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Which streamer.
    pub streamer: StreamerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind, where the settings know it.
    pub kind: Option<KindId>,
    /// Its cell.
    pub cell: u32,
    /// What discovery says of it.
    pub standing: Standing,
    /// Its weight.
    pub weight: f64,
    /// When it last started; `None` means long ago.
    pub started_at: Option<Micros>,
}

/// How a list is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Just what changed.
    Delta,
    /// Everything.
    Full,
    /// Everything as held last, possibly out of date.
    Cached,
    /// A call to discovery failed; no entries.
    Failed,
}

/// A viewer's request, or a session handed over.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// What is watched.
    pub title: TitleId,
    /// Who watches.
    pub viewer: ViewerId,
    /// First cell that holds the title.
    pub start_cell: u32,
    /// Cells in a row that hold it.
    pub cells_in_row: u32,
    /// The viewer's best rung.
    pub max_rung: usize,
    /// How long the viewer still waits.
    pub left_us: Micros,
    /// The viewer comes again (after a refusal, a break or a move), or the client marked a repeat.
    pub returned: bool,
    /// Requests that wait for their answer on the same connection, where the front end knows.
    pub beside: usize,
}

/// Values of a load report that came along; absent ones are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Streams that it runs or sets up.
    pub streams: Option<f64>,
    /// Share of its link that is asked, 1 at most.
    pub link_capped: Option<f64>,
    /// What is asked of its link over what it gives.
    pub link: Option<f64>,
    /// The same of its rack's uplink.
    pub uplink: Option<f64>,
}

/// How an attempt, or a probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error; it may have run.
    Failed,
    /// Turned away unseen.
    QueueFull,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection.
    ConnectError,
    /// The connection broke; it may have run.
    Reset,
    /// The connection had to be closed on what could not be read; it may have run.
    Garbled,
    /// Called off; it may have run.
    Canceled,
    /// Never sent.
    Ignored,
}

impl Outcome {
    /// Whether this ending proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::QueueFull | Outcome::ConnectError | Outcome::Ignored)
    }
}

/// What a note on a session tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteKind {
    /// Share of their rates that sessions at this streamer got.
    Delivered,
    /// The rung in force.
    Rung,
    /// What is asked of the link over what it gives.
    LinkUse,
    /// The same of the rack's uplink.
    UplinkUse,
}

/// What a controller hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery's news.
    List {
        /// How the list is meant.
        scope: ListScope,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A viewer wants a session.
    Inbound(Request),
    /// A session that plays already, at the start.
    Preexisting(Request, StreamerId),
    /// A set-up is done.
    Started {
        /// Which request.
        request: RequestId,
        /// Which streamer.
        streamer: StreamerId,
        /// How long the set-up took.
        latency_us: Micros,
    },
    /// News on a session.
    Note {
        /// Which request.
        request: RequestId,
        /// Which streamer.
        streamer: StreamerId,
        /// What it tells.
        kind: NoteKind,
        /// Its value.
        value: f64,
    },
    /// An attempt ended.
    Ended {
        /// Which request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Which streamer.
        streamer: StreamerId,
        /// How.
        outcome: Outcome,
        /// The request has ended; no answer is owed.
        last: bool,
        /// The load report that came along.
        report: LoadReport,
    },
    /// The client left; no answer is owed.
    ClientGone(RequestId),
    /// A probe's result.
    Probed {
        /// Which streamer.
        streamer: StreamerId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came along.
        report: LoadReport,
    },
    /// A connection to a streamer came up, or did not; no attempt need have been behind it.
    ConnectResult {
        /// Which streamer.
        streamer: StreamerId,
        /// Whether it came up.
        connected: bool,
    },
    /// A timer has come due.
    Timer(TimerTag),
}

/// What a controller does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask a streamer to start the session.
    Send {
        /// Which request.
        request: RequestId,
        /// Which streamer.
        streamer: StreamerId,
        /// Time-out of the attempt.
        try_for_us: Micros,
    },
    /// Set the session's rung.
    Rate {
        /// Which request.
        request: RequestId,
        /// The rung.
        rung: usize,
    },
    /// Final answer: refused, with a hint when to come again.
    Refuse {
        /// Which request.
        request: RequestId,
        /// How long the client should keep away.
        hold_off_us: Micros,
    },
    /// Final answer: failed, with no claim about effects.
    EndFailed(RequestId),
    /// Take the session off its streamer; the viewer comes back to this controller.
    Move(RequestId),
    /// Ask a streamer for its load.
    Probe(StreamerId),
    /// Ask for a timer.
    Timer {
        /// How long from now.
        after_us: Micros,
        /// Its name.
        tag: TimerTag,
    },
    /// Subscribe to discovery.
    Subscribe,
    /// A line for on-call staff.
    Log(String),
}
