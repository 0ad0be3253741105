//! A dozen scenarios of the library in simulated time, held to their checks; grids, shrinking, kept results; other
//! builds.

use coppersail_lab::experiment::{agreement, compared, grid, play, ranked, shrunk};
use coppersail_lab::policy::Kind;
use coppersail_lab::scenario::{Fault, FaultKind, Scenario};
use coppersail_lab::{run_folder, World};
use std::path::{Path, PathBuf};
use test_case::test_case;

fn scenario(name: &str) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(format!("{name}.jsonnet"));
    Scenario::read(&file).unwrap()
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("coppersail-lab-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test_case("calm")]
#[test_case("kill-quarter")]
#[test_case("hang")]
#[test_case("zone-lost")]
#[test_case("zone-cut")]
#[test_case("roll")]
#[test_case("list-late")]
#[test_case("store-down")]
#[test_case("director-killed")]
#[test_case("reports-lost")]
#[test_case("hot-slices")]
#[test_case("slow-channel")]
fn the_module_violates_no_rule_under_the_faults_of_the_library(name: &str) {
    let scenario = scenario(name);
    let (outcome, world) = play(&scenario, Kind::Module, 1);
    assert_eq!(outcome.failed(&scenario), None, "{:?}", world.rules.violations);
}

#[test]
fn every_scenario_of_the_library_can_be_read() {
    let library = std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")).unwrap();
    let read: Vec<Scenario> = library.map(|file| Scenario::read(&file.unwrap().path()).unwrap()).collect();
    assert!(read.len() >= 25, "{}", read.len());
}

#[test_case(r#"{"fleet":{"hosts":0}}"#, "expected some of each" ; "a fleet of none")]
#[test_case(r#"{"faults":[{"at":1,"for":2,"what":{"cut":{"zone":9}}}]}"#, "that there are" ; "a zone that is not")]
#[test_case(r#"{"secs":5}"#, "unknown field" ; "a field that is not")]
#[test_case(r#"{"seconds":0}"#, "more than 0" ; "no time at all")]
fn a_scenario_that_cannot_be_played_is_refused(text: &str, expected: &str) {
    let file = folder(&format!("unsound-{}", text.len())).join("scenario.json");
    std::fs::write(&file, text).unwrap();
    let wrong = Scenario::read(&file).unwrap_err().to_string();
    assert!(wrong.contains(expected) && wrong.contains(&file.display().to_string()), "{wrong}");
}

fn short(name: &str) -> Scenario {
    let mut scenario = Scenario { name: name.into(), seconds: 8.0, ..Scenario::default() };
    scenario.fleet.hosts = 4;
    scenario.fleet.slices = 12;
    scenario.fleet.cores = 2;
    scenario
}

#[test]
fn a_grid_that_was_killed_and_goes_on_gives_the_same_table() {
    let scenarios = [short("a"), short("b")];
    let kinds = [Kind::Module, Kind::Even];
    let whole = grid(&scenarios, &kinds, 1..4, 2, None, &|_, _| {}).unwrap();
    let file = folder("grid").join("results");
    grid(&scenarios[..1], &kinds, 1..3, 2, Some(&file), &|_, _| {}).unwrap();
    // Killed in the middle of a line.
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, &text[..text.len() - 40]).unwrap();
    let repeated = grid(&scenarios, &kinds, 1..4, 2, Some(&file), &|_, _| {}).unwrap();
    assert_eq!(repeated, whole);
    let mut played = std::sync::atomic::AtomicUsize::new(0);
    grid(&scenarios, &kinds, 1..4, 2, Some(&file), &|_, _| {
        played.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    })
    .unwrap();
    assert_eq!(*played.get_mut(), 0, "nothing is played twice");
}

#[test]
fn results_that_cannot_be_written_are_reported_and_earlier_ones_stay() {
    let file = Path::new("/dev/full");
    if file.exists() {
        let wrong = grid(&[short("a")], &[Kind::Even], 1..3, 1, Some(file), &|_, _| {});
        let wrong = wrong.unwrap_err().to_string();
        assert!(wrong.starts_with("results:"), "{wrong}");
    }
    let here = folder("kept").join("play");
    let (outcome, world) = play(&short("a"), Kind::Module, 1);
    run_folder::keep(&here, &world, &outcome).unwrap();
    for name in ["manifest.json", "seconds.csv", "table.md", "service.svg", "heat.svg", "report.html"] {
        assert!(std::fs::metadata(here.join(name)).unwrap().len() > 100, "{name}");
    }
    // The folder's place is taken by a file: nothing half is left.
    let taken = folder("taken").join("play");
    std::fs::write(taken.with_file_name("play.new"), "").unwrap();
    assert!(run_folder::keep(&taken, &world, &outcome).is_err());
    assert!(!taken.exists());
}

#[test]
fn a_timeline_shrinks_to_the_trouble_that_counts() {
    let fault = |at, what| Fault { at, duration: 2.0, kind: what };
    let mut scenario = short("long");
    scenario.seconds = 20.0;
    scenario.faults = vec![
        fault(1.0, FaultKind::ListLate { by: 1.0 }),
        fault(4.0, FaultKind::Hang { share: 1.0 }),
        fault(9.0, FaultKind::ReportsLost { share: 0.5 }),
    ];
    let fails = |scenario: &Scenario| play(scenario, Kind::Even, 1).0.worst_window < 0.9;
    assert!(fails(&scenario));
    let small = shrunk(&scenario, &fails);
    assert_eq!(small.faults.len(), 1);
    assert!(matches!(small.faults[0].kind, FaultKind::Hang { .. }) && small.seconds < 20.0, "{small:?}");
}

#[test]
fn the_policy_that_sees_the_true_state_serves_no_worse() {
    let scenario = scenario("slow");
    let kinds = [Kind::Module, Kind::TrueState];
    let outcomes = grid(std::slice::from_ref(&scenario), &kinds, 1..5, 4, None, &|_, _| {}).unwrap();
    let service = compared(&outcomes, &scenario.name, kinds[0], kinds[1]).service;
    assert!(service.mean > -service.half_width.max(0.02), "{} ±{}", service.mean, service.half_width);
}

#[test]
fn a_fleet_of_500_hosts_and_2000_proxies_runs() {
    let mut scenario = Scenario { seconds: 0.3, ..Scenario::default() };
    let fleet = &mut scenario.fleet;
    fleet.hosts = 500;
    fleet.proxies = 2000;
    fleet.slices = 3500;
    fleet.directors = 5;
    let world = World::new(&scenario, Kind::BoundedHashing, 1).run();
    assert!(world.measured.events > 10_000, "{}", world.measured.events);
}

#[test_case("kill-quarter")]
#[test_case("store-down")]
#[test_case("director-killed")]
#[test_case("reports-spoilt")]
fn a_play_through_the_reducer_keeps_its_checks_and_is_reproduced_by_its_seed(name: &str) {
    let scenario = scenario(name);
    let (outcome, world) = play(&scenario, Kind::Reducer, 1);
    assert_eq!(outcome.failed(&scenario), None, "{:?}", world.rules.violations);
    let (repeated, other) = play(&scenario, Kind::Reducer, 1);
    assert_eq!((outcome, world.measured.seconds), (repeated, other.measured.seconds));
}

/// Figures that cannot be are passed over by the reducer, and cost the bare module calls.
#[test]
fn impossible_figures_in_reports_cost_the_reducer_nothing() {
    let scenario = scenario("reports-spoilt");
    assert!(play(&scenario, Kind::Reducer, 1).0.service > 0.99);
}

#[test_case("change-harmful", "undone by change 2", "kept, its trial" ; "harm")]
#[test_case("change-harmless", "kept, its trial showed no harm", "undone" ; "no harm beside dead hosts")]
fn an_operators_change_is_judged_by_what_callers_of_the_world_get(name: &str, said: &str, not: &str) {
    let (_, world) = play(&scenario(name), Kind::Reducer, 1);
    let told = world.change_log();
    let was_told =
        |what: &str| told.iter().any(|(_, _, text)| text.starts_with("change 1: ") && text.contains(what));
    assert!(was_told(said) && !was_told(not), "{told:?}");
}

/// The binary itself on loopback, with a director killed and back, beside the same in simulated time.
#[test]
fn a_play_in_real_time_serves_as_in_simulated_time() {
    // With `--workspace` it is there already; a test of this package alone makes it.
    if !coppersail_lab::policy::director_binary().exists() {
        let made = std::process::Command::new(env!("CARGO"))
            .args(["build", "--locked", "-p", "coppersail-director"])
            .status();
        assert!(made.is_ok_and(|status| status.success()));
    }
    let mut scenario = Scenario { name: "live".into(), seconds: 7.0, ..Scenario::default() };
    scenario.load.utilization = 0.3;
    scenario.faults = vec![
        Fault { at: 2.0, duration: 2.0, kind: FaultKind::Kill { share: 0.25 } },
        Fault { at: 3.0, duration: 1.0, kind: FaultKind::KillDirector { director: 0 } },
    ];
    // Whether the two agree is for `coppersail-lab agree` on a machine that does nothing else. Here it must have
    // ordered, before and after it was killed, and served through it.
    let all = agreement(std::slice::from_ref(&scenario), 1);
    assert!(all[0].live.service > 0.7, "{}", all[0].row());
    assert!(all[0].live.lines > 0.0, "it has ordered something");
}

#[test]
fn any_build_on_the_simulators_wire_plays() {
    use std::os::unix::fs::PermissionsExt;
    // A stand-in of a build: it names host 2 alone in slice 3's table, on every batch.
    let script = "#!/bin/sh\nwhile read -r line; do if [ \"$line\" = COMMIT ]; then\n\
        echo 'SET_LINE who=1 host=h2 table=3 w=0.5'; echo 'WAKE_AT who=1 ref=1 time-ns=2000000000'; echo READY; fi; done\n";
    let program = folder("build").join("stand-in");
    std::fs::write(&program, script).unwrap();
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).unwrap();
    let kind = Kind::named(&format!("build:{}", program.display())).unwrap();
    let (outcome, _) = play(&short("built"), kind, 1);
    assert!(outcome.lines > 0.0 && outcome.calls > 0);
    let text = serde_json::to_string(&outcome).unwrap();
    assert!(text.contains("stand-in"), "kept by its path: {text}");
    assert_eq!(serde_json::from_str::<coppersail_lab::experiment::Outcome>(&text).unwrap(), outcome);
    let scores = [("stand-in".to_string(), 0.5)].into();
    assert!(ranked(&[outcome], &scores).contains("over 1 builds"));
}
