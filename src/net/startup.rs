//! Creates a director: reads and checks its files and creates its components, all before the first turn.
use super::admin::{self, AdminServer};
use super::agreed::Agreed;
use super::clock::Clock;
use super::components::Components;
use super::discovery::DiscoveryClient;
use super::error::NodeError;
use super::hand::ContinuityDriver;
use super::lifecycle::{ShutdownPhase, grace_period_us};
use super::peers::{self, Peers};
use super::poll::{self, Poll};
use super::shared::Shared;
use super::signals::Signals;
use super::streamers::Streamers;
use super::viewers::{self, Viewers};
use super::{Node, estate, lives};
use crate::director::{Counters, Director, Lifecycle, MetricsRegistry};
use crate::interface::{Micros, Settings};
use crate::platform::config::Config;
use crate::settings::NameRegistry;
use slog::{Logger, info};
use std::path::{Path, PathBuf};
use stonewharf_continuity::{ContinuitySettings, Coordinator, SharedCoordinator};
use stonewharf_fleet::{Fleet, FleetSettings, Me};
use stonewharf_halls::{HallSettings, Halls, SharedHalls};
use stonewharf_operator::{Known, Operator};
use stonewharf_rollout::{Drains, SharedDrains};

/// Descriptors reserved for uses other than viewer and streamer connections: standard streams, poller, timer,
/// discovery and some spare.
const RESERVED_DESCRIPTORS: usize = 24;

/// Reads and checks the operator file. With `names`, the names in it are checked against the deployment's.
pub fn read_operator_file(file: &Path, names: Option<&NameRegistry>) -> Result<Operator, NodeError> {
    let name = file.display().to_string();
    let bytes = std::fs::read(file).map_err(|why| NodeError::OperatorUnreadable(name.clone(), why))?;
    let known = names.map(|n| Known { classes: n.classes().to_vec(), halls: n.zones().to_vec() });
    let known = known.unwrap_or_default();
    Ok(Operator::parse_for(&name, &String::from_utf8_lossy(&bytes), &known)?)
}

/// Returns the digest of the effective settings of the operator file, without those specific to one machine.
pub fn settings_digest(operator: &Operator) -> u64 {
    let fleet = operator.fleet.as_ref();
    let shared =
        fleet.map(|f| FleetSettings { cluster: f.cluster.clone(), names: f.names.clone(), ..<_>::default() });
    let shared = Operator { fleet: shared, ..operator.clone() };
    stonewharf_fleet::digest(shared.effective().as_bytes())
}

/// Creates the fleet membership of this director.
fn create_fleet(
    settings: &FleetSettings,
    config: &Config,
    hall: &str,
    digest: u64,
    now: Micros,
) -> Result<Fleet, NodeError> {
    let folder = (!settings.folder.is_empty()).then(|| Path::new(&settings.folder));
    if folder.is_some() {
        Signals::handle_file_size_limit()?;
    }
    let incarnation = lives::next_incarnation(folder, now).map_err(|why| {
        NodeError::Fleet(format!(
            "folder {:?} can't store this director's incarnation number: {why}",
            settings.folder
        ))
    })?;
    let name = if settings.name.is_empty() { config.name.clone() } else { settings.name.clone() };
    let me =
        Me { name, incarnation, hall: hall.to_owned(), version: env!("CARGO_PKG_VERSION").into(), digest };
    Fleet::new(settings, me, config.seed()?, now).map_err(|why| NodeError::Fleet(why.to_string()))
}

/// Creates this director's side of session continuity, which lets sessions outlive their director, if
/// enabled.
fn create_hand(
    settings: &Settings,
    names: &NameRegistry,
    fleet: Option<&Fleet>,
    continuity: Option<ContinuitySettings>,
    now: Micros,
) -> Option<SharedCoordinator> {
    let member = fleet?.me();
    let (name, hall) = (member.name.to_string(), member.hall.to_string());
    let me = stonewharf_continuity::LocalDirector { name, hall, incarnation: member.incarnation };
    Some(SharedCoordinator::new(Coordinator::new(continuity?, settings, names.classes(), me, now)))
}

/// Returns the settings of the halls. An absent block is disabled; a reload may add it.
pub(super) fn hall_settings(operator: Operator) -> HallSettings {
    operator.halls.unwrap_or(HallSettings { enabled: false, ..HallSettings::default() })
}

impl Node {
    /// Creates a director without an operator file. It listens from here on.
    pub fn new(config: &Config, log: Logger) -> Result<Self, NodeError> {
        Node::with_operator(config, None, log)
    }

    /// Creates a director with an operator file, which configures this project's own subsystems.
    pub fn with_operator(config: &Config, file: Option<&Path>, log: Logger) -> Result<Self, NodeError> {
        Node::with_signals(config, file, Signals::install()?, log)
    }

    /// Creates a director with signal handlers that were installed before the files were read: a signal that
    /// arrives during startup is handled as soon as the director serves.
    pub fn with_signals(
        config: &Config,
        file: Option<&Path>,
        signals: Signals,
        log: Logger,
    ) -> Result<Self, NodeError> {
        let clock = Clock::start();
        let now = clock.now();
        let (settings, mut names, transport) = NameRegistry::read(&config.settings)?;
        let mut fleet = None;
        let (mut agreement_settings, mut continuity_settings) = (None, None);
        let operator = match file {
            Some(file) => {
                let operator = read_operator_file(file, Some(&names))?;
                if let Some(fleet_settings) = operator.fleet.clone().filter(|fleet| fleet.enabled) {
                    let hall = names.zone_name(settings.zone).unwrap_or_default().to_owned();
                    fleet = Some((
                        create_fleet(&fleet_settings, config, &hall, settings_digest(&operator), now)?,
                        fleet_settings,
                    ));
                }
                continuity_settings = operator.continuity.clone().filter(|continuity| continuity.enabled);
                agreement_settings = operator
                    .agreement
                    .clone()
                    .map(|agreement| (agreement, operator.out.clone().unwrap_or_default()));
                let hall_settings = hall_settings(operator);
                let (classes, zones) = (names.classes().to_vec(), &mut names);
                let class_index = |name: &str| classes.iter().position(|c| c == name);
                let halls = Halls::new(hall_settings, &settings, now, class_index, |name| zones.zone(name));
                Some((file.to_owned(), SharedHalls::new(halls)))
            }
            None => None,
        };
        let hand =
            create_hand(&settings, &names, fleet.as_ref().map(|(fleet, _)| fleet), continuity_settings, now);
        let drains = Drains::new(&settings);
        let metrics = MetricsRegistry::default();
        let counters = Counters::registered_in(&metrics, names.classes());
        let mut director = Director::new(settings, config.seed()?, now)?.with_counters(counters.clone());
        let drains = agreement_settings.as_ref().map(|_| SharedDrains::new(drains));
        if let Some(drains) = &drains {
            director = director.with_limits(Box::new(drains.clone()));
        }
        if let Some(hand) = &hand {
            director = director.with_limits(Box::new(hand.clone()));
        }
        if let Some((_, halls)) = &operator {
            director = director.with_limits(Box::new(halls.clone()));
        }
        let poll = Poll::new()?;
        let (deadlines, inputs, events) = Default::default();
        let mut shared = Shared { poll, deadlines, inputs, events, counters, log, now, ownership: None };
        let mut folder = None;
        let peers = match fleet {
            Some((fleet, fleet_settings)) => {
                folder = (!fleet_settings.folder.is_empty()).then(|| PathBuf::from(&fleet_settings.folder));
                let is_voter = |voters: &[String]| voters.iter().any(|name| **name == *fleet.me().name);
                if folder.is_none()
                    && agreement_settings.as_ref().is_some_and(|(settings, _)| is_voter(&settings.voters))
                {
                    let why = "this director is named as a voter and has no folder; set fleet.folder";
                    return Err(NodeError::Fleet(why.into()));
                }
                let at = fleet_settings.listens_at().map_err(|why| NodeError::Fleet(why.to_string()))?;
                let listening = Peers::listen(&mut shared, at, fleet);
                Some(listening.map_err(|why| NodeError::Fleet(format!("can't listen on {at}: {why}")))?)
            }
            None => None,
        };
        let mut agreement = match (agreement_settings, drains, &peers) {
            (Some((settings, budgets)), Some(drains), Some(peers)) => {
                Some(Agreed::start(&shared, &settings, budgets, drains, folder.as_deref(), peers))
            }
            _ => None,
        };
        if let (Some(agreement), Some(hand)) = (&mut agreement, hand) {
            let hands = ContinuityDriver::new(hand);
            shared.ownership = Some(hands.act_permission(clock.clone()));
            agreement.hands = Some(hands);
        }
        let admin = match config.admin_addr {
            Some(at) => {
                let admin = viewers::listen(at).and_then(|listener| {
                    info!(shared.log, "admin interface listens"; "at" => %listener.local_addr()?);
                    AdminServer::new(&mut shared, listener)
                });
                Some(admin.map_err(|why| NodeError::Listen(at, why))?)
            }
            None => None,
        };
        let mut reserved = RESERVED_DESCRIPTORS;
        reserved += if peers.is_some() { peers::DESCRIPTORS } else { 0 };
        reserved += if admin.is_some() { admin::MAX_DESCRIPTORS } else { 0 };
        let sockets = config.limits.sockets.saturating_sub(reserved);
        let listener = match config.inherited_fd {
            Some(fd) => poll::inherit_listener(fd).map_err(|why| NodeError::Inherited(fd, why))?,
            None => viewers::listen(config.listen).map_err(|why| NodeError::Listen(config.listen, why))?,
        };
        let viewers = Viewers::new(&mut shared, listener, sockets / 2)
            .map_err(|why| NodeError::Listen(config.listen, why))?;
        let lifecycle =
            Lifecycle::new(grace_period_us(transport.longest_deadline_us()), config.inherited_fd.is_some());
        let streamers = Streamers::new(transport.clone(), sockets / 2);
        let discovery = DiscoveryClient::new(config.discovery_addr, config.known.last_event);
        let mut node = Node {
            clock,
            director,
            names,
            transport,
            shared,
            signals,
            components: Components { viewers, streamers, discovery, admin, peers },
            agreement,
            config_file: config.file().map(Path::to_owned),
            name: config.name.clone(),
            raw_settings: config.settings.clone(),
            operator,
            stop_requested: false,
            lifecycle,
            metrics,
            handover_file: config.shared_dir().map(|folder| estate::file_path(folder, &config.name)),
            estate_checked_at: None,
            estate_poll_ends_at: 0,
            phase: ShutdownPhase::Serving,
            tracing: false,
        };
        config.known.events.iter().for_each(|event| node.handle_discovery_event(event, true));
        node.components.discovery.check_deadline(&mut node.shared);
        node.components.streamers.start(&mut node.shared);
        node.start_estate_poll();
        Ok(node)
    }
}
