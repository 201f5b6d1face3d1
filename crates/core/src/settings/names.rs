//! Converts the names that a front end uses to the numeric ids of the decision module.
use super::{Interner, NameError, RawSettings, TransportSettings, parse_settings};
use crate::interface::*;

/// A session request as a front end receives it, with names instead of ids.
#[derive(Default)]
pub struct NamedRequest<'a> {
    /// Id of the request.
    pub id: u64,
    /// Name of the class.
    pub class: &'a str,
    /// Name of the tenant, if any.
    pub tenant: Option<&'a str>,
    /// Name of the title.
    pub title: &'a str,
    /// Name of the viewer.
    pub viewer: &'a str,
    /// First cell that stores the title.
    pub start_cell: u32,
    /// Number of consecutive cells that store the title.
    pub cells_in_row: u32,
    /// The highest rung that the viewer can play, if given.
    pub max_rung: Option<usize>,
    /// How much longer the viewer waits for an answer.
    pub left_us: Micros,
    /// Whether the viewer returns, or the client marked a repeat.
    pub returned: bool,
}

/// An entry of the streamer list as a front end receives it, with names instead of ids.
pub struct NamedEntry<'a> {
    /// Name of the streamer.
    pub streamer: &'a str,
    /// Name of its zone.
    pub zone: &'a str,
    /// Name of its kind.
    pub kind: &'a str,
    /// The cell that it is in.
    pub cell: u32,
    /// Its state according to discovery.
    pub standing: Standing,
    /// Its weight, if given; 1 otherwise.
    pub weight: Option<f64>,
    /// When it last started; 0 if that was long ago.
    pub started_at: Micros,
}

/// The names known to one controller and their numeric ids.
pub struct NameRegistry {
    /// Names of the streamers by [`StreamerId`].
    pub streamers: Interner,
    zones: Interner,
    zone_names: Vec<String>,
    classes: Vec<String>,
    tenants: Vec<String>,
    kinds: Vec<String>,
    cells: u32,
    rungs: usize,
}

impl NameRegistry {
    /// Converts parsed settings to the settings of the decision module, the names that they define, and the
    /// transport settings.
    pub fn read(raw: &RawSettings) -> Result<(Settings, NameRegistry, TransportSettings), NameError> {
        let mut zones = Interner::default();
        let settings = parse_settings(raw, &mut zones)?;
        settings.check()?;
        let registry = NameRegistry {
            streamers: Interner::default(),
            zones,
            zone_names: raw.dcs.clone(),
            classes: raw.lanes.iter().map(|l| l.name.clone()).collect(),
            tenants: raw.accounts.iter().map(|a| a.name.clone()).collect(),
            kinds: raw.kinds.clone(),
            cells: raw.family_info.cells,
            rungs: raw.family_info.ladder_kb.len(),
        };
        Ok((settings, registry, TransportSettings::of(raw)))
    }

    /// The first kind of name whose list in the settings differs between this registry and `other`; `None` if
    /// both belong to the same deployment.
    pub fn first_difference(&self, other: &NameRegistry) -> Option<&'static str> {
        let lists = [
            ("classes", &self.classes, &other.classes),
            ("tenants", &self.tenants, &other.tenants),
            ("zones", &self.zone_names, &other.zone_names),
            ("kinds of streamers", &self.kinds, &other.kinds),
        ];
        lists.into_iter().find(|(_, own, others)| own != others).map(|(what, ..)| what)
    }

    /// The names of all classes.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The names of all zones; empty if the settings do not list them.
    pub fn zones(&self) -> &[String] {
        &self.zone_names
    }

    /// The id of a zone; assigns one if the name is new.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.zones.intern(name))
    }

    /// The name of a zone, if its id was assigned.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        self.zones.resolve(zone.0)
    }

    /// The id of a class.
    pub fn class(&self, name: &str) -> Result<ClassId, NameError> {
        let class = self.classes.iter().position(|c| c == name);
        class.map(ClassId).ok_or_else(|| NameError::word("class", name))
    }

    /// Checks that the numbers in a request are within the cells and rungs of the settings.
    pub fn check_ranges(&self, wanted: &NamedRequest<'_>) -> Result<(), NameError> {
        let within = |what, figure: u64, ok: bool| {
            if ok { Ok(()) } else { Err(NameError::OutOfRange { what, figure }) }
        };
        let (home, copies) = (wanted.start_cell, wanted.cells_in_row);
        within("home", u64::from(home), home < self.cells)?;
        within("copies", u64::from(copies), (1..=self.cells).contains(&copies))?;
        let top = wanted.max_rung.unwrap_or(0);
        within("top", top as u64, top < self.rungs)
    }

    /// Converts a request to the decision module's type.
    pub fn request(&mut self, wanted: &NamedRequest<'_>) -> Result<Request, NameError> {
        Ok(Request {
            id: RequestId(wanted.id),
            class: self.class(wanted.class)?,
            tenant: wanted.tenant.and_then(|t| self.tenants.iter().position(|n| n == t)).map(TenantId),
            title: TitleId(hash_name(wanted.title)),
            viewer: ViewerId(hash_name(wanted.viewer)),
            start_cell: wanted.start_cell,
            cells_in_row: wanted.cells_in_row,
            max_rung: wanted.max_rung.unwrap_or(usize::MAX),
            left_us: wanted.left_us,
            returned: wanted.returned,
            beside: 0,
        })
    }

    /// Converts an entry of the streamer list to the decision module's type.
    pub fn entry(&mut self, line: &NamedEntry<'_>) -> Entry {
        Entry {
            streamer: StreamerId(self.streamers.intern(line.streamer)),
            zone: ZoneId(self.zones.intern(line.zone)),
            kind: self.kinds.iter().position(|k| k == line.kind).map(KindId),
            cell: line.cell,
            standing: line.standing,
            weight: line.weight.unwrap_or(1.0),
            started_at: Some(line.started_at).filter(|&at| at > 0),
        }
    }
}

/// The numeric id of a viewer or title: an FNV-1a hash of the name. Viewers and titles come and go without
/// limit, so a table of them would grow without bound.
pub fn hash_name(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}
