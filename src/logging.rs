//! Levelled logs on standard error; `LOG_LEVEL` chooses how much.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;

struct Stderr;

impl Log for Stderr {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            // One write per line; a closed standard error is no reason to end the service.
            let line = format!("{:5} {}\n", record.level(), record.args());
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// Starts logging; an unknown level means `info`.
pub fn start(level: Option<&str>) {
    let level = level
        .and_then(|l| l.parse::<LevelFilter>().ok())
        .unwrap_or(LevelFilter::Info);
    if log::set_logger(&Stderr).is_ok() {
        log::set_max_level(level);
    }
}
