//! Logging to standard error; the environment variable `LOG_LEVEL` sets the level.

use tracing::level_filters::LevelFilter;

/// Initializes logging. A missing or unknown level means `info`. Lines have no timestamp, as the service manager adds
/// one.
pub fn init(level: Option<&str>) {
    let level = level
        .and_then(|name| name.parse::<LevelFilter>().ok())
        .unwrap_or(LevelFilter::INFO);
    // Fails if logging is already initialized, as when several tests run in one process; the first configuration stays.
    let _ = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        // A failed write to a closed standard error must not end the service.
        .log_internal_errors(false)
        .try_init();
}
