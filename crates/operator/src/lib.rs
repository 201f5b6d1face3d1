//! The operator file: what this project's own subsystems are set to, as HCL. Text goes in; checked settings
//! or one line come out that names the place and what is allowed there. Reads no files and keeps no state:
//! whoever has the text decides what to do with the result, all or nothing.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod places;
mod put;

pub use places::Places;
pub use put::{PutError, put};
use serde::{Deserialize, Serialize};
use stonewharf_agreement::AgreementSettings;
use stonewharf_continuity::ContinuitySettings;
use stonewharf_fleet::FleetSettings;
use stonewharf_halls::HallSettings;
use stonewharf_rollout::DisruptionBudgets;

/// The largest operator file, bytes: far above what any needs.
pub const LARGEST: usize = 1 << 20;
/// How like an allowed word an unknown one must be to be taken for a slip (Jaro-Winkler, 0 to 1).
const ALIKE: f64 = 0.8;

/// All settings of the operator file. A block that is absent is off.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Loss and return of a hall.
    pub halls: Option<HallSettings>,
    /// Directors that know of each other.
    pub fleet: Option<FleetSettings>,
    /// What they agree on, and who votes. Needs the block `fleet`.
    pub agreement: Option<AgreementSettings>,
    /// What may be out of service at a time. Needs the block `agreement`.
    pub out: Option<DisruptionBudgets>,
    /// Sessions that outlive their director. Needs the block `agreement`.
    pub continuity: Option<ContinuitySettings>,
}

/// What is wrong with an operator file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {what}")]
pub struct OperatorError {
    /// The file, as it was named.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong, and what is allowed.
    pub what: String,
}

/// Names that a deployment has; none where they are not known, and then any is taken.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Classes of sessions.
    pub classes: Vec<String>,
    /// Halls.
    pub halls: Vec<String>,
}

impl Operator {
    /// Reads and checks the text of an operator file; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Operator, OperatorError> {
        Operator::parse_for(file, text, &Known::default())
    }

    /// The same for a deployment, whose names the file may use and no others.
    pub fn parse_for(file: &str, text: &str, known: &Known) -> Result<Operator, OperatorError> {
        let error =
            |line: usize, what: String| OperatorError { file: file.to_owned(), line: line.max(1), what };
        let (mut operator, places): (Operator, Places) = read_hcl(file, text, |_| Ok(()))?;
        if let Some(halls) = &mut operator.halls {
            halls
                .check()
                .map_err(|why| error(places.line(&format!("halls.{}", why.key)), format!("halls.{why}")))?;
            let classes =
                halls.order.keys().map(|c| ("class", c, format!("halls.order.{c}"), &known.classes));
            let named = halls.names.iter().map(|h| ("hall", h, "halls.names".to_owned(), &known.halls));
            // Halls of an order that names declares are held against the deployment by their declaration.
            let ordered = halls.order.iter().filter(|_| halls.names.is_empty());
            let ordered = ordered.flat_map(|(c, halls)| halls.iter().map(move |h| (c, h)));
            let ordered = ordered.map(|(c, h)| ("hall", h, format!("halls.order.{c}"), &known.halls));
            for (what, name, path, names) in classes.chain(named).chain(ordered) {
                if !names.is_empty() && !names.contains(name) {
                    let has = names.join(", ");
                    let what = format!("the deployment has no {what} {name:?}; it has {has}");
                    return Err(error(places.line(&path), what));
                }
            }
            if halls.names.is_empty() {
                halls.names.clone_from(&known.halls);
            }
        }
        if let Some(fleet) = &operator.fleet {
            fleet
                .check()
                .map_err(|why| error(places.line(&format!("fleet.{}", why.key)), format!("fleet.{why}")))?;
        }
        if let Some(agreement) = &operator.agreement {
            agreement.check().map_err(|why| {
                error(places.line(&format!("agreement.{}", why.key)), format!("agreement.{why}"))
            })?;
        }
        if let Some(out) = &operator.out {
            out.check()
                .map_err(|why| error(places.line(&format!("out.{}", why.key)), format!("out.{why}")))?;
        }
        if let Some(continuity) = &operator.continuity {
            continuity.check().map_err(|why| {
                error(places.line(&format!("continuity.{}", why.key)), format!("continuity.{why}"))
            })?;
        }
        let fleet = operator.fleet.as_ref().is_some_and(|fleet| fleet.enabled);
        let needs = [
            ("agreement", operator.agreement.is_some(), "fleet", fleet),
            ("out", operator.out.is_some(), "agreement", operator.agreement.is_some()),
            ("continuity", operator.continuity.is_some(), "agreement", operator.agreement.is_some()),
        ];
        if let Some((block, _, other, _)) = needs.iter().find(|(_, there, _, met)| *there && !met) {
            let what = format!("block {block} needs block {other}, which is not there or off; add it");
            return Err(error(places.line(block), what));
        }
        Ok(operator)
    }

    /// The settings in force, as HCL: what was given and the defaults of the blocks that are there.
    pub fn effective(&self) -> String {
        let mut text = String::new();
        let mut block = |name: &str, body: Option<String>| {
            let Some(body) = body else { return };
            text.push_str(&format!("{name} {{\n"));
            body.lines().for_each(|line| text.push_str(&format!("  {line}\n")));
            text.push_str("}\n");
        };
        block("halls", self.halls.as_ref().and_then(|halls| hcl::to_string(halls).ok()));
        block("fleet", self.fleet.as_ref().and_then(|fleet| hcl::to_string(fleet).ok()));
        block("agreement", self.agreement.as_ref().and_then(|agreement| hcl::to_string(agreement).ok()));
        block("continuity", self.continuity.as_ref().and_then(|c| hcl::to_string(c).ok()));
        block("out", self.out.as_ref().and_then(|out| hcl::to_string(out).ok()));
        text
    }
}

/// Reads a text of HCL as `T`, with the places of all that stands in it; `change` may change values before
/// they are taken. What is wrong is one line with its place, and what is allowed there.
pub fn read_hcl<T: serde::de::DeserializeOwned>(
    file: &str,
    text: &str,
    change: impl FnOnce(&mut hcl::Value) -> Result<(), PutError>,
) -> Result<(T, Places), OperatorError> {
    let error = |line: usize, what: String| OperatorError { file: file.to_owned(), line: line.max(1), what };
    if text.len() > LARGEST {
        return Err(error(1, format!("the file has {} bytes; {LARGEST} at most are read", text.len())));
    }
    let places = Places::read(text).map_err(|(line, why)| error(line, why))?;
    if let Some((line, path)) = places.repeated() {
        return Err(error(line, format!("{path} stands here a second time; once is allowed")));
    }
    let mut body: hcl::Value = hcl::from_str(text).map_err(|why| error(1, one_line(&why.to_string())))?;
    change(&mut body).map_err(|why| error(1, why.to_string()))?;
    let read = serde_path_to_error::deserialize(serde::de::IntoDeserializer::into_deserializer(body));
    let read = read.map_err(|why| {
        let (path, what) = (why.path().to_string(), one_line(&why.inner().to_string()));
        let (at, what) = explain(&path, &what);
        error(places.line(&at), what)
    })?;
    Ok((read, places))
}

/// The path that an error of serde's is about, and the error in our words, with a suggestion for a slip.
fn explain(path: &str, what: &str) -> (String, String) {
    let within = if path == "." { String::new() } else { path.to_owned() };
    let Some(rest) = what.strip_prefix("unknown field `").or(what.strip_prefix("unknown variant `")) else {
        let place = if within.is_empty() { String::new() } else { format!("{within}: ") };
        return (within.clone(), format!("{place}{what}"));
    };
    let kind = if what.starts_with("unknown field") { "setting" } else { "value" };
    let mut words = rest.split('`').step_by(2);
    let unknown = words.next().unwrap_or_default();
    let allowed: Vec<&str> = words.collect();
    // The path of an unknown field ends with it or with the block that it stands in.
    let parent = within.strip_suffix(unknown).map(|p| p.trim_end_matches('.').to_owned()).unwrap_or(within);
    let at = match (kind, parent.is_empty()) {
        ("value", _) => parent.clone(),
        (_, true) => unknown.to_owned(),
        (_, false) => format!("{parent}.{unknown}"),
    };
    let like = |word: &&&str| strsim::jaro_winkler(unknown, word);
    let best = allowed.iter().max_by(|a, b| like(a).total_cmp(&like(b))).filter(|w| like(w) >= ALIKE);
    let mend = match best {
        Some(word) => format!("did you mean {word}?"),
        None => format!("allowed are {}", allowed.join(", ")),
    };
    let inside = if parent.is_empty() { String::new() } else { format!(" in {parent}") };
    (at, format!("unknown {kind} {unknown}{inside}; {mend}"))
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
