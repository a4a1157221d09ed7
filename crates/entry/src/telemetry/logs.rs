//! Logs as JSON lines on standard error.

use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

/// Starts logging at this level for our own code, and warnings of libraries.
///
/// A second call in one process changes nothing.
pub fn start(level: &str) {
    let filter =
        RustLogFilterBuilder::from_spec(format!("warn,woodgap={level},woodgap_entry={level}"));
    let logger = logforth::core::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(filter.build())
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(log::LevelFilter::Trace);
    }
    std::panic::set_hook(Box::new(|info| {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        log::error!(place = place; "panic: {info}");
    }));
}
