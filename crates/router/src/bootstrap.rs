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

/// Everything that a router reads from its files at start and at a reload.
pub struct Bootstrap {
    /// Addresses, limits and names of the router itself.
    pub config: RouterConfig,
    /// The kinds of engines, and the number of routers.
    pub fleet: Fleet,
    /// The request classes, in the order of the settings.
    pub classes: Vec<RequestClass>,
    /// Limits that hold for every attempt.
    pub attempt_limits: AttemptLimits,
    /// The number of the last event in `events`, after which the discovery service resumes.
    pub last_event: u64,
    /// The events of the endpoint list that the configuration contains, oldest first.
    pub events: Vec<EndpointEvent>,
    /// One error for each unknown field of the load report. These fields are ignored.
    pub ignored_report_fields: Vec<SettingsError>,
    /// The operator's file; the default, with all features off, without a file.
    pub operator_config: OperatorConfig,
}

impl Bootstrap {
    /// Decodes a configuration file. `listen` replaces the listening address of the file.
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
        let ignored_report_fields = unknown_load_report_names(settings)?;
        Ok(Self {
            config,
            fleet,
            classes,
            attempt_limits,
            last_event: initial.last_event,
            events: initial.events,
            ignored_report_fields,
            operator_config: OperatorConfig::default(),
        })
    }

    /// Decodes the operator's file, in place of the one before.
    ///
    /// # Errors
    /// Returns the first invalid value; the previous operator's configuration then stays.
    pub fn read_operator_file(&mut self, text: &str) -> Result<(), ConfigError> {
        self.operator_config = OperatorConfig::parse(text)?;
        Ok(())
    }
}
