//! Levelled logs on standard error; `LOG_LEVEL` chooses how much.

use tracing::level_filters::LevelFilter;

/// Starts logging; an unknown level means `info`. Without a timestamp, as whoever runs the program
/// stamps its lines.
pub fn init(level: Option<&str>) {
    let level = level
        .and_then(|name| name.parse::<LevelFilter>().ok())
        .unwrap_or(LevelFilter::INFO);
    // A second start, as tests in one process do, keeps the first.
    let _ = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        // A closed standard error is no reason to end the service.
        .log_internal_errors(false)
        .try_init();
}
