//! Logs as JSON lines on standard output, written by a thread of their own.
//!
//! The thread takes lines from a bounded queue. When the reader of the log is
//! too slow the queue fills up, and lines are dropped and counted; nothing here
//! waits for the reader. The library's own queue drops without a count, hence
//! this one.

use std::io::{Write, stdout};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use logforth::append::Append;
use logforth::bridge::log::LogBridge;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::record::Record;
use logforth::{Diagnostic, Layout};

/// The most lines that wait to be written: some seconds of a busy relay.
const QUEUE: usize = 1_024;

/// Lines that were not written since the last look.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since this was last asked.
pub fn take_dropped() -> u64 {
    DROPPED.swap(0, Ordering::Relaxed)
}

/// Starts logging at this level for our own code, and warnings of libraries.
///
/// A second call in one process changes nothing.
///
/// # Errors
///
/// If the writing thread can't be started.
pub fn start(level: &str) -> std::io::Result<()> {
    let filter =
        RustLogFilterBuilder::from_spec(format!("warn,woodgap={level},woodgap_relay={level}"));
    let queue = Queue::start()?;
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(filter.build()).append(queue))
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(log::LevelFilter::Trace);
    }
    std::panic::set_hook(Box::new(|info| {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        log::error!(place = place; "panic: {info}");
    }));
    Ok(())
}

#[derive(Debug)]
struct Queue {
    lines: SyncSender<Vec<u8>>,
    layout: JsonLayout,
}

impl Queue {
    fn start() -> std::io::Result<Self> {
        let (lines, written) = sync_channel(QUEUE);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write(&written))?;
        Ok(Self {
            lines,
            layout: JsonLayout::default(),
        })
    }
}

impl Append for Queue {
    fn append(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

/// Writes lines until the process ends. There is nowhere to tell that standard
/// output is closed, so that is only counted.
fn write(lines: &Receiver<Vec<u8>>) {
    while let Ok(line) = lines.recv() {
        if stdout().write_all(&line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}
