//! The names that one controller has heard, as the module's small numbers.
use super::{Interner, NameError, RawSettings, TransportSettings, parse_settings};
use crate::interface::*;

/// A request for a session, in the words of a front end.
#[derive(Default)]
pub struct NamedRequest<'a> {
    /// Its number.
    pub id: u64,
    /// Its class.
    pub class: &'a str,
    /// Its tenant, if any.
    pub tenant: Option<&'a str>,
    /// What is watched.
    pub title: &'a str,
    /// Who watches.
    pub viewer: &'a str,
    /// First cell that holds the title.
    pub start_cell: u32,
    /// Cells in a row that hold it.
    pub cells_in_row: u32,
    /// The viewer's best rung.
    pub max_rung: Option<usize>,
    /// How long the viewer still waits.
    pub left_us: Micros,
    /// The viewer comes again.
    pub returned: bool,
}

/// A line of the server list, in the words of a front end.
pub struct NamedEntry<'a> {
    /// The streamer.
    pub streamer: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its kind.
    pub kind: &'a str,
    /// Its cell.
    pub cell: u32,
    /// What discovery says of it.
    pub standing: Standing,
    /// Its weight.
    pub weight: Option<f64>,
    /// When it last started; 0 means long ago.
    pub started_at: Micros,
}

/// The names that one controller has heard, as the module's small numbers.
pub struct NameRegistry {
    /// Streamers, by their ids.
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
    /// Reads the settings: the module's, the vocabulary that they begin, and what they say of connections.
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

    /// The first kind of names in which the settings of another vocabulary differ from this one's; `None`
    /// where both are of one deployment.
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

    /// The names of all zones, where the settings have them; else none.
    pub fn zones(&self) -> &[String] {
        &self.zone_names
    }

    /// The number of a zone.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.zones.intern(name))
    }

    /// The name of a zone that was met before.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        self.zones.resolve(zone.0)
    }

    /// The number of a class.
    pub fn class(&self, name: &str) -> Result<ClassId, NameError> {
        let class = self.classes.iter().position(|c| c == name);
        class.map(ClassId).ok_or_else(|| NameError::word("class", name))
    }

    /// Whether the figures of a request are within what the settings name.
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

    /// A request in the module's terms.
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

    /// A line of the server list in the module's terms.
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

/// The number of a viewer or title: a hash (FNV-1a), since they come and go without end and a table of them
/// would grow.
pub fn hash_name(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}
