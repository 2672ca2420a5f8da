//! The metrics of the process: OpenTelemetry instruments, exported in the Prometheus text format.

use opentelemetry::metrics::{self, MeterProvider as _};
use opentelemetry_sdk::{error, metrics as sdk};
use prometheus::Encoder as _;

/// The `Content-Type` of the metrics page.
pub const CONTENT_TYPE: &str = prometheus::TEXT_FORMAT;

/// Why the metrics cannot be collected or exported.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter could not be set up.
    #[error("cannot set up the metrics: {0}")]
    Exporter(#[from] error::OTelSdkError),
    /// The metrics could not be encoded in the Prometheus text format.
    #[error("cannot write the metrics page: {0}")]
    Render(#[from] prometheus::Error),
}

/// The result of setting up or exporting the metrics.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: prometheus::Registry,
    provider: sdk::SdkMeterProvider,
}

impl Metrics {
    /// Sets up the metrics. Their values are collected when [`Metrics::render`] is called.
    pub fn new() -> Result<Metrics> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("heatherwalk")
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = sdk::SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Metrics { registry, provider })
    }

    /// The meter with which the roles create their instruments.
    pub fn meter(&self) -> metrics::Meter {
        self.provider.meter("heatherwalk")
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String> {
        let mut page = Vec::new();
        prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok(String::from_utf8_lossy(&page).into_owned())
    }
}
