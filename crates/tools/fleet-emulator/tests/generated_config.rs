//! The generated configuration.
use coppersail_fleet_emulator::{generate_config, ConfigSize};

#[test]
fn a_generated_configuration_is_valid_and_of_the_size_asked_for() {
    let size = ConfigSize { revision: 4, routes: 530, services: 55, sharded_services: 5 };
    let config = coppersail_config::config::parse(generate_config(size).as_bytes()).unwrap();
    assert_eq!((config.revision, config.routes.len(), config.services.len()), (4, 530, 55));
    assert_eq!(config.services.iter().filter(|service| service.sharded).count(), 5);
}
