//! Where each setting of an operator file stands: its path (`halls.spill_share`) and line. Values
//! are read elsewhere, by serde, which does not know lines.
use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};
use std::collections::BTreeMap;

/// The lines of all settings and blocks of a file, by path.
pub struct Places {
    lines: BTreeMap<String, usize>,
    repeated: Option<(usize, String)>,
}

/// Blocks in blocks that are read at most; deeper ones are refused before a parser's stack is at risk.
const DEEPEST: usize = 16;

impl Places {
    /// Reads the places of a text; where it is no HCL, the line and why.
    pub fn read(text: &str) -> Result<Places, (usize, String)> {
        if let Some(line) = too_deep(text) {
            return Err((line, format!("more than {DEEPEST} brackets in each other; {DEEPEST} are allowed")));
        }
        let body = hcl_edit::parser::parse_body(text).map_err(|why| {
            let line = why.location().line();
            let ended = line >= text.lines().count() && text.lines().last().is_none_or(|l| !l.contains('}'));
            let end = if ended { "; the file may be cut short" } else { "" };
            (line, format!("no HCL: {}{end}", why.message().split_whitespace().collect::<Vec<_>>().join(" ")))
        })?;
        let mut places = Places { lines: BTreeMap::new(), repeated: None };
        places.walk(text, "", &body);
        Ok(places)
    }

    fn walk(&mut self, text: &str, within: &str, body: &Body) {
        for structure in body.iter() {
            let (name, inner, span) = match structure {
                Structure::Attribute(a) => (a.key.to_string(), None, a.span()),
                Structure::Block(b) => {
                    let mut name = b.ident.to_string();
                    for label in &b.labels {
                        name.push('.');
                        name.push_str(label.as_str());
                    }
                    (name, Some(&b.body), b.span())
                }
            };
            let name = name.trim();
            let path = if within.is_empty() { name.to_owned() } else { format!("{within}.{name}") };
            let start = span.map_or(0, |s| s.start.min(text.len()));
            let line = 1 + text.as_bytes()[..start].iter().filter(|b| **b == b'\n').count();
            if self.lines.insert(path.clone(), line).is_some() {
                self.repeated.get_or_insert((line, path.clone()));
            }
            inner.into_iter().for_each(|body| self.walk(text, &path, body));
        }
    }

    /// The line of a path, or of the nearest block or setting round it; 1 where there is none.
    pub fn line(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            match (self.lines.get(path), path.rfind(['.', '['])) {
                (Some(line), _) => return *line,
                (None, Some(at)) => path = &path[..at],
                (None, None) => return 1,
            }
        }
    }

    /// A path that stands there twice, with the line of the second.
    pub fn repeated(&self) -> Option<(usize, String)> {
        self.repeated.clone()
    }
}

/// The line where brackets go too deep, if they do. Strings and comments count as well: a file that needs so
/// many brackets there can do without.
fn too_deep(text: &str) -> Option<usize> {
    let mut depth = 0usize;
    for (number, line) in text.lines().enumerate() {
        for byte in line.bytes() {
            match byte {
                b'{' | b'[' | b'(' => depth += 1,
                b'}' | b']' | b')' => depth = depth.saturating_sub(1),
                _ => {}
            }
            if depth > DEEPEST {
                return Some(number + 1);
            }
        }
    }
    None
}
