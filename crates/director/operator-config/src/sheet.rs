//! The whole file: read to its end whatever is wrong with it, so that every fault is told in one run.

use crate::field::{word, Again, Document, Edits, Field, Value, FIELDS_MOST};
use crate::locate::line_of;
use crate::tree::Tree;
use crate::Fault;

/// The form of the file that this program reads.
const FORM: f64 = 1.0;
/// A path longer than this is no socket's on any system.
const SOCKET_MOST: usize = 100;

/// What only a start takes over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Start {
    /// Where operators' commands are taken; none: nowhere.
    pub socket: Option<String>,
    /// Where the history of changes is kept; none: in memory alone.
    pub history: Option<String>,
    pub log: LogForm,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogForm {
    #[default]
    Text,
    Json,
}

/// A file that is sound in every field.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sheet {
    pub start: Start,
    pub document: Document,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownRoute {
    pub name: String,
    /// Its calls may run again.
    pub repeatable: bool,
}

/// What the director's settings name, against which a file can be checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Known {
    pub zones: Vec<String>,
    pub routes: Vec<KnownRoute>,
    pub slices: u64,
    /// Levels can be set here at all.
    pub admits: bool,
}

struct Reading<'a> {
    file: &'a str,
    source: &'a str,
    known: Option<&'a Known>,
    faults: Vec<Fault>,
    sheet: Sheet,
}

/// What is wrong with a value that is sound by itself, given what the settings name.
fn unknown(field: &Field, value: &Value, known: &Known) -> Option<String> {
    let one_of =
        |what: &str, names: Vec<&str>| Some(format!("{what} of the settings, one of {}", names.join(", ")));
    match field {
        Field::ZoneWeight(zone) if !known.zones.contains(zone) => {
            one_of("a zone", known.zones.iter().map(String::as_str).collect())
        }
        Field::RouteCeiling(route) | Field::RouteAgain(route) => {
            let Some(found) = known.routes.iter().find(|known| known.name == *route) else {
                return one_of("a route", known.routes.iter().map(|route| route.name.as_str()).collect());
            };
            let repeats = matches!(value, Value::Again(again) if *again > Again::IfNeverRan);
            if repeats && !found.repeatable {
                // Rule 2: what a director has proxies repeat is the director's to answer for.
                return Some("never or if-never-ran, as this route's calls must not run twice".to_string());
            }
            (!known.admits).then(|| "nothing: the settings let no levels be set".to_string())
        }
        Field::Apart(slice, _) if u64::from(*slice) >= known.slices => {
            Some(format!("a slice below {}", known.slices))
        }
        _ => None,
    }
}

/// One field with its value, as it comes from a command line or a socket.
pub fn checked_edit(field: &Field, value: Option<&Value>, known: Option<&Known>) -> Result<(), String> {
    let Some(value) = value else { return Ok(()) };
    if !field.fits(value) {
        return Err(format!("field {field}: expected {}", field.expected()));
    }
    let wrong = known.and_then(|known| unknown(field, value, known));
    wrong.map_or(Ok(()), |expected| Err(format!("field {field}: expected {expected}")))
}

impl Reading<'_> {
    fn fault(&mut self, path: &[&str], expected: impl Into<String>) {
        let line = line_of(self.source, path);
        let (file, field) = (self.file.to_string(), path.join("."));
        self.faults.push(Fault { file, line, field, expected: expected.into() });
    }

    fn object<'t>(&mut self, path: &[&str], tree: &'t Tree) -> &'t [(String, Tree)] {
        if let Tree::Object(fields) = tree {
            return fields;
        }
        self.fault(path, "an object");
        &[]
    }

    fn set(&mut self, path: &[&str], field: Field, value: &Tree) {
        let read = match value {
            Tree::Null => return,
            Tree::Flag(flag) => Some(Value::Flag(*flag)),
            Tree::Number(number) => Some(Value::Number(*number)),
            Tree::Text(text) => word(text),
            _ => None,
        };
        let Some(value) = read.filter(|value| field.fits(value)) else {
            return self.fault(path, field.expected());
        };
        if let Some(expected) = self.known.and_then(|known| unknown(&field, &value, known)) {
            return self.fault(path, expected);
        }
        self.sheet.document.insert(field, value);
    }

    /// `hosts`, `zones` and `routes`: names, each with its own few fields.
    fn named(&mut self, part: &str, tree: &Tree, allowed: &[&str]) {
        for (name, fields) in self.object(&[part], tree) {
            for (last, value) in self.object(&[part, name], fields) {
                let path = [part, name.as_str(), last.as_str()];
                match path.join(".").parse() {
                    Ok(field) if allowed.contains(&last.as_str()) => self.set(&path, field, value),
                    _ => self.fault(&path, format!("one of {}", allowed.join(", "))),
                }
            }
        }
    }

    fn apart(&mut self, tree: &Tree) {
        for (slice, hosts) in self.object(&["apart"], tree) {
            let Tree::List(hosts) = hosts else {
                self.fault(&["apart", slice], "a list of hosts");
                continue;
            };
            for host in hosts {
                let field = match host {
                    Tree::Text(host) => format!("apart.{slice}.{host}").parse().ok(),
                    _ => None,
                };
                match (field, host) {
                    (Some(field), Tree::Text(host)) => {
                        self.set(&["apart", slice, host], field, &Tree::Flag(true));
                    }
                    _ => self.fault(&["apart", slice], "a slice's number, with a list of hosts"),
                }
            }
        }
    }

    fn text(&mut self, path: &[&str], tree: &Tree, most: usize) -> Option<String> {
        match tree {
            Tree::Null => None,
            Tree::Text(text) if !text.is_empty() && text.len() <= most => Some(text.clone()),
            _ => {
                self.fault(path, format!("a path of at most {most} bytes"));
                None
            }
        }
    }

    fn top(&mut self, name: &str, tree: &Tree) {
        match name {
            "form" if *tree == Tree::Number(FORM) => {}
            "form" => self.fault(&["form"], format!("{FORM}, the form that this program reads")),
            "hosts" => self.named("hosts", tree, &["weight", "drained", "leaves"]),
            "zones" => self.named("zones", tree, &["weight"]),
            "routes" => self.named("routes", tree, &["ceiling", "again"]),
            "apart" => self.apart(tree),
            "changes" => {
                for (name, value) in self.object(&["changes"], tree) {
                    match name.as_str() {
                        "trial" => self.set(&["changes", name], Field::Trial, value),
                        "judge" => self.set(&["changes", name], Field::Judge, value),
                        "history" => {
                            self.sheet.start.history = self.text(&["changes", name], value, 4096);
                        }
                        _ => self.fault(&["changes", name], "one of trial, judge, history"),
                    }
                }
            }
            "guard" => {
                for (name, value) in self.object(&["guard"], tree) {
                    match name.as_str() {
                        "mode" => self.set(&["guard", name], Field::Guard, value),
                        _ => self.fault(&["guard", name], "mode"),
                    }
                }
            }
            "control" => {
                for (name, value) in self.object(&["control"], tree) {
                    match name.as_str() {
                        "socket" => {
                            self.sheet.start.socket = self.text(&["control", name], value, SOCKET_MOST);
                        }
                        _ => self.fault(&["control", name], "socket"),
                    }
                }
            }
            "log" => match tree {
                Tree::Text(form) if form == "text" => self.sheet.start.log = LogForm::Text,
                Tree::Text(form) if form == "json" => self.sheet.start.log = LogForm::Json,
                _ => self.fault(&["log"], "text or json"),
            },
            _ => {
                self.fault(&[name], "one of form, hosts, zones, routes, apart, changes, guard, control, log")
            }
        }
    }
}

/// The file's settings, or all of its faults. `json` is what the file gives when it is evaluated, `source` how it
/// stands, in which lines are looked up; for plain JSON they are the same.
pub fn sheet(file: &str, source: &str, json: &str, known: Option<&Known>) -> Result<Sheet, Vec<Fault>> {
    let mut reading = Reading { file, source, known, faults: Vec::new(), sheet: Sheet::default() };
    match serde_json::from_str::<Tree>(json) {
        Ok(tree) => {
            if tree.get("form").is_none() {
                reading.fault(&["form"], format!("{FORM}, the form that this program reads; it is missing"));
            }
            for (name, value) in reading.object(&[], &tree) {
                reading.top(name, value);
            }
        }
        Err(wrong) => {
            let line = if source == json { wrong.line() } else { 0 };
            let text = wrong.to_string();
            let text = text.split(" at line ").next().unwrap_or_default();
            let expected = if text.contains("once, it stands twice") {
                text.to_string()
            } else {
                format!("JSON ({text})")
            };
            let (file, field) = (file.to_string(), String::new());
            reading.faults.push(Fault { file, line, field, expected });
        }
    }
    if reading.sheet.document.len() > FIELDS_MOST {
        reading.fault(&[], format!("at most {FIELDS_MOST} fields"));
    }
    if reading.faults.is_empty() {
        Ok(reading.sheet)
    } else {
        Err(reading.faults)
    }
}

/// What makes the new document of the old one.
pub fn difference(old: &Document, new: &Document) -> Edits {
    let set = new.iter().filter(|(field, value)| old.get(*field) != Some(*value));
    let set = set.map(|(field, value)| (field.clone(), Some(*value)));
    let gone = old.keys().filter(|field| !new.contains_key(*field)).map(|field| (field.clone(), None));
    set.chain(gone).collect()
}

#[cfg(test)]
#[path = "sheet_tests.rs"]
mod tests;
