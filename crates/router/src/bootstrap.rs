//! What a router starts from: its configuration file and the operator's file, decoded.

use crate::config::RouterConfig;
use crate::discovery::{EndpointEvent, initial_events};
use crate::error::ConfigError;
use emberflow::{AttemptLimits, Fleet, RequestClass};
use emberflow_operator::Orders;
use emberflow_settings::{Fields, SettingsError, attempt_limits, fleet, request_classes, unknown_reports};
use serde_json::Value;

/// Everything that is known at the start, before the discovery service or any client is connected.
pub struct Bootstrap {
    pub config: RouterConfig,
    pub fleet: Fleet,
    pub classes: Vec<RequestClass>,
    pub attempt_limits: AttemptLimits,
    /// Number of the last event in `events`: the discovery service resumes after it.
    pub last_event: u64,
    pub events: Vec<EndpointEvent>,
    /// The fields of the load report that are unknown and ignored.
    pub ignored_report_fields: Vec<SettingsError>,
    /// The operator's own file; empty without one.
    pub orders: Orders,
}

impl Bootstrap {
    /// Decodes a configuration file; `listen` replaces the address that the file says to listen on.
    pub fn read(file: &Value, listen: Option<&str>) -> Result<Self, ConfigError> {
        let config = RouterConfig::read(file, listen)?;
        let file = Fields::of(file);
        let settings = file.part("settings")?;
        let initial = initial_events(file, &config.locations, &config.kinds)?;
        let fleet = fleet(config.seed, settings)?;
        let classes = request_classes(settings)?;
        // On sockets a health check only shows that a connection works.
        let attempt_limits = AttemptLimits { may_probe: false, ..attempt_limits(settings)? };
        let ignored_report_fields = unknown_reports(settings)?;
        Ok(Self {
            config,
            fleet,
            classes,
            attempt_limits,
            last_event: initial.last_event,
            events: initial.events,
            ignored_report_fields,
            orders: Orders::default(),
        })
    }

    /// Decodes the operator's own file, which replaces the orders so far; unchanged on an error.
    pub fn read_operator_file(&mut self, text: &str) -> Result<(), ConfigError> {
        let orders = Orders::read(text);
        self.orders = orders.map_err(|error| ConfigError::OperatorFile(error.to_string()))?;
        Ok(())
    }
}
