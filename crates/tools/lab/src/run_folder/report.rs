//! One HTML page of a run that needs no network: tables, charts, scenario.

use super::charts;
use std::fs;
use std::io;
use std::path::Path;

const HEAD: &str = "<!doctype html><meta charset=\"utf-8\"><title>play</title><style>body{font:14px sans-serif;margin:2em}pre{background:#eee;padding:1em;overflow:auto}svg{max-width:100%}</style>";

/// The page, made of the other files of the run's folder.
///
/// # Errors
/// [`io::Error`]: one of these files cannot be read.
pub fn page(folder: &Path) -> io::Result<String> {
    let read = |name: &str| fs::read_to_string(folder.join(name));
    let mut page = String::from(HEAD);
    page += &format!("<h1>Play</h1><pre>{}</pre>", escaped(&read("manifest.json")?));
    page += &format!("<pre>{}</pre>", escaped(&read("table.md")?));
    for chart in charts::FILES {
        page += &read(chart)?;
    }
    page += &format!("<h2>Scenario</h2><pre>{}</pre>", escaped(&read("scenario.json")?));
    Ok(page)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
