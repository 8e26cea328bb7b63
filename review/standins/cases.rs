//! The cases. Each returns the violations of its rule.

mod evacuated_again;
mod limit_after_lull;
mod limit_lifted;
mod lost_machines;
mod mixed_replicas;
mod moved_era;
mod silent_watch;

use std::time::Duration;

/// The violations that a case has seen.
pub type Violations = Vec<String>;

/// `config_apply_ms` of the small sites: when a change of the configuration must be in force.
const CONFIG_APPLY: f64 = 3.0;
/// `drain_ms` of the small sites: when a leaf that drains must get no more requests.
const DRAIN: f64 = 3.0;
/// `stable_ms` of the small sites: a machine is in touch if nothing has disturbed it for so long.
const STABLE: f64 = 4.0;
/// `outer_ms` of the small sites: by how much an unstable store stretches the bounds at most.
const OUTER: f64 = 12.0;

/// The clients' requests start this long after the machines do.
const LEAD: Duration = Duration::from_secs(10);

pub fn run(name: &str, trouble: bool) -> std::io::Result<Violations> {
    match name {
        "limit-lifted" => limit_lifted::run(trouble),
        "lost-machines" => lost_machines::run(trouble),
        "limit-after-lull" => limit_after_lull::run(trouble),
        "silent-watch" => silent_watch::run(trouble),
        "evacuated-again" => evacuated_again::run(trouble),
        "moved-era" => moved_era::run(trouble),
        "mixed-replicas" => mixed_replicas::run(trouble),
        _ => Err(std::io::Error::other("no such case")),
    }
}

/// Returns a configuration document with routes, each a prefix and its service, and all services.
fn configuration(version: u64, routes: &[(&str, &str)], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, service)| route(prefix, 500, &format!("\"service\":\"{service}\"")))
        .collect();
    document(version, &routes, services)
}

/// Returns a route to a destination, the field that names the service or services.
fn route(prefix: &str, objective_ms: u32, destination: &str) -> String {
    format!(
        "{{\"name\":\"r{}\",\"host\":\"{}\",\"prefix\":\"{prefix}\",\"kind\":\"idempotent\",\
         \"timeout_ms\":2000,\"target_latency_ms\":{objective_ms},\"priority\":1,{destination},\
         \"max_attempts\":2}}",
        prefix.replace('/', ""),
        crate::node::HOST,
    )
}

/// Returns a configuration document with the routes and the services.
fn document(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\
                 \"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(","),
    )
}
