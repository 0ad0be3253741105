//! Discrete-event simulation of a busy cluster: clients move between nodes while nodes are killed, zones are
//! partitioned, responses are lost and connections are reset. The ledger of the simulated endpoint records how many
//! times each request was executed.
//!
//! `cargo run --release -p coppersail-session-affinity --example night -- docs/sessions.md` runs all simulations and
//! writes their tables into that page. `-- - SEEDS` prints the tables for another number of seeds.
mod clients;
mod endpoint;
mod ledger;
mod network;
mod report;
mod results;
mod simulation;
mod strategies;
mod world;

const BEGIN: &str = "<!-- night: begin -->\n";
const END: &str = "<!-- night: end -->";
const DEFAULT_SEEDS: u64 = 200;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let page = args.next();
    let seeds = args.next().and_then(|seeds| seeds.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    let report = report::report(seeds);
    let Some(page) = page.filter(|page| page != "-") else {
        print!("{}", report.text);
        return Ok(());
    };
    let old = std::fs::read_to_string(&page)?;
    let (before, rest) = old.split_once(BEGIN).ok_or("the page has no place for the tables")?;
    let (_, after) = rest.split_once(END).ok_or("the page's place for the tables has no end")?;
    std::fs::write(&page, format!("{before}{BEGIN}{}{END}{after}", report.text))?;
    report::draw_chart(&page.replace(".md", ".svg"), &report.bars)?;
    Ok(())
}
