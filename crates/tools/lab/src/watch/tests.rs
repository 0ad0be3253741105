//! Tests of the module `watch`.
use super::*;
use ratatui::backend::TestBackend;
use ratatui::Terminal;

#[test]
fn a_frame_shows_the_time_the_service_and_every_host() {
    let scenario = Scenario { name: "shown".into(), seconds: 6.0, ..Scenario::default() };
    let mut world = World::new(&scenario, Kind::Module, 1);
    while world.now() < 4.5 && world.step() {}
    for (wide, high) in [(120, 40), (40, 12)] {
        let mut terminal = Terminal::new(TestBackend::new(wide, high)).unwrap();
        let pace = Pace { speed: 2.0, paused: true };
        terminal.draw(|frame| draw(frame, &world, Kind::Module, pace)).unwrap();
        let shown = terminal.backend().to_string();
        // A small terminal shows what fits.
        assert!(shown.contains("shown with module"), "{shown}");
        assert!(wide < 100 || shown.contains("4.5 of 6 s"), "{shown}");
        assert!(wide < 100 || (0..12).all(|host| shown.contains(&format!("h{host} "))), "{shown}");
    }
}
