//! The decoded configuration file and operator's file, from which a router starts.

use crate::config::RouterConfig;
use crate::discovery::{EndpointEvent, initial_events};
use crate::error::ConfigError;
use emberflow::{AttemptLimits, Fleet, RequestClass};
use emberflow_operator::OperatorConfig;
use emberflow_settings::{
    Fields, SettingsError, decode_attempt_limits, decode_fleet, decode_request_classes,
    unknown_load_report_names,
};
use serde_json::Value;

/// The decoded content of a router's files, which it reads at the start and at each reload.
pub struct Bootstrap {
    /// Addresses and limits of the router, and the names of locations, engine kinds and request classes.
    pub config: RouterConfig,
    /// The properties of the fleet: the kinds of engines, the number of routers, and how the engines behave.
    pub fleet: Fleet,
    /// The request classes, in the order of the settings.
    pub classes: Vec<RequestClass>,
    /// Limits of attempts and retries.
    pub attempt_limits: AttemptLimits,
    /// The number of the last event in `events`. The discovery service sends the events after it.
    pub last_event: u64,
    /// The events of the endpoint list that the configuration contains, oldest first.
    pub events: Vec<EndpointEvent>,
    /// One error for each unknown figure of the load report. These figures are ignored.
    pub ignored_report_figures: Vec<SettingsError>,
    /// The operator's configuration; the default, with all features off, if there is no operator's file.
    pub operator_config: OperatorConfig,
}

impl Bootstrap {
    /// Decodes a configuration file. `listen` replaces the listening address of the file, if given.
    ///
    /// # Errors
    /// Returns the first value that is missing or invalid, with its path.
    pub fn read(file: &Value, listen: Option<&str>) -> Result<Self, ConfigError> {
        let config = RouterConfig::read(file, listen)?;
        let file = Fields::of(file);
        let settings = file.object("settings")?;
        let initial = initial_events(file, &config.locations, &config.kinds)?;
        let fleet = decode_fleet(config.seed, settings)?;
        let classes = decode_request_classes(settings)?;
        // On sockets a health check only shows that a connection works, and the engine pool sends it by itself.
        let attempt_limits = AttemptLimits { may_probe: false, ..decode_attempt_limits(settings)? };
        let ignored_report_figures = unknown_load_report_names(settings)?;
        Ok(Self {
            config,
            fleet,
            classes,
            attempt_limits,
            last_event: initial.last_event,
            events: initial.events,
            ignored_report_figures,
            operator_config: OperatorConfig::default(),
        })
    }

    /// Decodes an operator's file, and replaces the operator's configuration.
    ///
    /// # Errors
    /// Returns the first invalid value. The previous operator's configuration then stays.
    pub fn read_operator_file(&mut self, text: &str) -> Result<(), ConfigError> {
        self.operator_config = OperatorConfig::parse(text)?;
        Ok(())
    }
}
