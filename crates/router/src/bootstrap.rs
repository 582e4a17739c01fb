//! What a router starts from: its configuration file and the operator's file, decoded.

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

/// Everything that is known at the start, before the discovery service or any client is connected.
pub struct Bootstrap {
    /// The router's own configuration.
    pub config: RouterConfig,
    /// What the scheduler knows of engines and fellow routers.
    pub fleet: Fleet,
    /// The request classes, in the order of the settings.
    pub classes: Vec<RequestClass>,
    /// What binds every attempt.
    pub attempt_limits: AttemptLimits,
    /// Number of the last event in `events`: the discovery service resumes after it.
    pub last_event: u64,
    /// The events of the endpoint list so far.
    pub events: Vec<EndpointEvent>,
    /// The fields of the load report that are unknown and ignored.
    pub ignored_report_fields: Vec<SettingsError>,
    /// The operator's own file; empty without one.
    pub orders: OperatorConfig,
}

impl Bootstrap {
    /// Decodes a configuration file; `listen` replaces the address that the file says to listen on.
    pub fn read(file: &Value, listen: Option<&str>) -> Result<Self, ConfigError> {
        let config = RouterConfig::read(file, listen)?;
        let file = Fields::of(file);
        let settings = file.object("settings")?;
        let initial = initial_events(file, &config.locations, &config.kinds)?;
        let fleet = decode_fleet(config.seed, settings)?;
        let classes = decode_request_classes(settings)?;
        // On sockets a health check only shows that a connection works.
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
            orders: OperatorConfig::default(),
        })
    }

    /// Decodes the operator's own file, which replaces the orders so far; unchanged on an error.
    pub fn read_operator_file(&mut self, text: &str) -> Result<(), ConfigError> {
        self.orders = OperatorConfig::parse(text)?;
        Ok(())
    }
}
