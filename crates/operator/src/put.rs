//! Values put in place of what a text of HCL says, as from a command line: `key=value`, the key a path.

/// Why a value can't be put where it is wanted, and what can.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// No key, or no value.
    #[error("--set {0}: key=value is wanted, as in --set operator.spill_share=0.5")]
    NoPair(String),
    /// A list has no element of that name.
    #[error("--set {key}: {part} is no number of a list; its elements are counted from 0")]
    NoNumber {
        /// The whole key.
        key: String,
        /// The part of it.
        part: String,
    },
    /// A list is shorter.
    #[error("--set {key}: the list has no number {index}; it has {length} elements, counted from 0")]
    Short {
        /// The whole key.
        key: String,
        /// The element wanted.
        index: usize,
        /// How many there are.
        length: usize,
    },
    /// What stands there has no keys.
    #[error("--set {key}: {part} stands in a plain value, which has no keys; leave the rest of the key out")]
    Plain {
        /// The whole key.
        key: String,
        /// The part of it.
        part: String,
    },
}

/// Puts `key=value` in place: a key such as `operator.spill_share` or `incidents.0.at`.
pub fn put(value: &mut hcl::Value, set: &str) -> Result<(), PutError> {
    let pair = set.split_once('=').filter(|(key, _)| !key.trim().is_empty());
    let (key, given) = pair.ok_or_else(|| PutError::NoPair(set.to_owned()))?;
    let parsed: Result<hcl::Value, _> = hcl::from_str(&format!("x = {given}\n"));
    let new = match parsed {
        // A bare word is a name in HCL, which means nothing here: it is taken as text.
        Ok(hcl::Value::Object(mut o)) => match o.swap_remove("x") {
            Some(hcl::Value::String(text)) if text.starts_with("${") => hcl::Value::String(given.to_owned()),
            Some(value) => value,
            None => return Err(PutError::NoPair(set.to_owned())),
        },
        _ => hcl::Value::String(given.to_owned()),
    };
    let mut at = value;
    let mut parts = key.split('.').peekable();
    while let Some(part) = parts.next() {
        let last = parts.peek().is_none();
        let (key, named) = (|| key.to_owned(), || part.to_owned());
        at = match at {
            hcl::Value::Object(object) => {
                let inner = if last { new.clone() } else { hcl::Value::Object(Default::default()) };
                object.entry(part.to_owned()).or_insert(inner)
            }
            hcl::Value::Array(list) => {
                let index: usize =
                    part.parse().map_err(|_| PutError::NoNumber { key: key(), part: named() })?;
                let length = list.len();
                list.get_mut(index).ok_or_else(|| PutError::Short { key: key(), index, length })?
            }
            _ => return Err(PutError::Plain { key: key(), part: named() }),
        };
        if last {
            *at = new;
            return Ok(());
        }
    }
    Err(PutError::NoPair(set.to_owned()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_value_is_put_or_the_error_names_what_to_do() {
        let mut value: hcl::Value = hcl::from_str("a = 1\nlist = [{ b = 2 }]\n").expect("HCL");
        for set in ["a=2", "list.0.b=true", "new.deep=word"] {
            put(&mut value, set).expect("put");
        }
        let again: hcl::Value =
            hcl::from_str("a = 2\nlist = [{ b = true }]\nnew {\n  deep = \"word\"\n}\n").expect("HCL");
        assert_eq!(value, again);
        for (set, told) in [
            ("a", "key=value is wanted"),
            ("=3", "key=value is wanted"),
            ("list.x.b=1", "counted from 0"),
            ("list.7.b=1", "it has 1 elements"),
            ("a.b=1", "leave the rest of the key out"),
        ] {
            let why = put(&mut value, set).expect_err("wrong").to_string();
            assert!(why.contains(told) && why.starts_with("--set"), "{why}");
        }
    }
}
