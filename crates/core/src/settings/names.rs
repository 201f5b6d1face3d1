//! Converts the names that a front end uses to the numeric ids of the decision module.
use super::{Interner, NameError, RawSettings, TransportSettings, parse_settings};
use crate::interface::*;

/// Offset basis of the 32-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
/// Prime of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;

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
        class.map(ClassId).ok_or_else(|| NameError::unknown_name("class", name))
    }

    /// Checks that the numbers in a request are within the cells and rungs of the settings.
    pub fn check_ranges(&self, request: &NamedRequest<'_>) -> Result<(), NameError> {
        let require_range = |what, value: u64, ok: bool| {
            if ok { Ok(()) } else { Err(NameError::OutOfRange { what, value }) }
        };
        let (start_cell, cell_count) = (request.start_cell, request.cells_in_row);
        require_range("home", u64::from(start_cell), start_cell < self.cells)?;
        require_range("copies", u64::from(cell_count), (1..=self.cells).contains(&cell_count))?;
        let max_rung = request.max_rung.unwrap_or(0);
        require_range("top", max_rung as u64, max_rung < self.rungs)
    }

    /// Converts a request to the decision module's type.
    pub fn request(&mut self, request: &NamedRequest<'_>) -> Result<Request, NameError> {
        Ok(Request {
            id: RequestId(request.id),
            class: self.class(request.class)?,
            tenant: request.tenant.and_then(|t| self.tenants.iter().position(|n| n == t)).map(TenantId),
            title: TitleId(hash_name(request.title)),
            viewer: ViewerId(hash_name(request.viewer)),
            start_cell: request.start_cell,
            cells_in_row: request.cells_in_row,
            max_rung: request.max_rung.unwrap_or(usize::MAX),
            left_us: request.left_us,
            returned: request.returned,
            beside: 0,
        })
    }

    /// Converts an entry of the streamer list to the decision module's type.
    pub fn entry(&mut self, entry: &NamedEntry<'_>) -> Entry {
        Entry {
            streamer: StreamerId(self.streamers.intern(entry.streamer)),
            zone: ZoneId(self.zones.intern(entry.zone)),
            kind: self.kinds.iter().position(|k| k == entry.kind).map(KindId),
            cell: entry.cell,
            standing: entry.standing,
            weight: entry.weight.unwrap_or(1.0),
            started_at: Some(entry.started_at).filter(|&at| at > 0),
        }
    }
}

/// The numeric id of a viewer or title: an FNV-1a hash of the name. Viewers and titles come and go without
/// limit, so a table of them would grow without bound.
pub fn hash_name(name: &str) -> u32 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME))
}
