//! Metrics: instruments by OpenTelemetry, read as a page in the Prometheus text format.

use opentelemetry::metrics::{self, MeterProvider as _};
use opentelemetry_sdk::{error, metrics as sdk};
use prometheus::Encoder as _;

/// The value of the page's `Content-Type` header.
pub const CONTENT_TYPE: &str = prometheus::TEXT_FORMAT;

/// An error of this module.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter could not be set up.
    #[error("cannot set up the metrics: {0}")]
    Exporter(#[from] error::OTelSdkError),
    /// The page could not be written.
    #[error("cannot write the metrics page: {0}")]
    Render(#[from] prometheus::Error),
}

/// A result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The process's metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: prometheus::Registry,
    provider: sdk::SdkMeterProvider,
}

impl Metrics {
    /// Sets up metrics that are kept until [`Metrics::render`] reads them.
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

    /// The meter that instruments are made from.
    pub fn meter(&self) -> metrics::Meter {
        self.provider.meter("heatherwalk")
    }

    /// The page of all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String> {
        let mut page = Vec::new();
        prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok(String::from_utf8_lossy(&page).into_owned())
    }
}
