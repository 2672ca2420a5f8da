pub mod late_reports;
pub mod lost_before;
pub mod old_life;
pub mod poison;
pub mod popular;
pub mod requesters;

/// A route of a configuration.
pub fn route(name: &str, prefix: &str, kind: &str, timeout_ms: u32, service: &str) -> String {
    format!(
        "\"{name}\":{{\"host\":\"jepu9.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout\":\"{timeout_ms}ms\",\"objective\":\"400ms\",\"priority\":1,\
         \"service\":\"{service}\",\"attempts\":2}}"
    )
}

/// A configuration of the four services.
pub fn config(version: u64, routes: &[String]) -> String {
    let services: Vec<String> = SERVICES
        .iter()
        .map(|it| {
            format!(
                "\"{it}\":{{\"health\":\"/healthz\",\"connections\":110,\"protocol\":\"h1\",\
                 \"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":{{{}}},\"services\":{{{}}},\"limits\":{{\
         \"header_limit\":16384,\"body_limit\":67108864,\"header_time\":\"3000ms\",\
         \"idle_time\":\"15000ms\"}}}}",
        routes.join(","),
        services.join(",")
    )
}

pub const SERVICES: [&str; 4] = ["logbook", "launchdesk", "sondelab", "flightrec"];

/// A route that is split among all services in equal parts.
pub fn split_route(name: &str, prefix: &str, kind: &str, timeout_ms: u32) -> String {
    let parts = SERVICES.map(|it| format!("{{\"service\":\"{it}\",\"weight\":25}}"));
    format!(
        "\"{name}\":{{\"host\":\"jepu9.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout\":\"{timeout_ms}ms\",\"objective\":\"400ms\",\"priority\":1,\
         \"split\":[{}],\"attempts\":2}}",
        parts.join(",")
    )
}
