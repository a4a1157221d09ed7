//! Logs as JSON lines on standard output, written by a thread of their own.
//!
//! The thread takes lines from a bounded queue. When the reader of the log is
//! too slow the queue fills up, and lines are dropped and counted; nothing here
//! waits for the reader. The library's own queue drops without a count, hence
//! this one.

use std::io::{Write, stdout};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use logforth::append::Append;
use logforth::bridge::log::LogBridge;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::record::Record;
use logforth::{Diagnostic, Layout};

/// The most lines that wait to be written: some seconds of a busy relay.
const QUEUE: usize = 1_024;
/// How long the end of a process waits for the reader of its log: a part of the half second
/// before it would be killed.
const FLUSH: Duration = Duration::from_millis(200);

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
    let queue = Queue::start(stdout())?;
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

/// What the writing thread is to do.
enum Task {
    /// Write a line.
    Write(Vec<u8>),
    /// Say that all before is written.
    Tell(SyncSender<()>),
}

/// Lines on their way to a writer of their own thread.
#[derive(Debug)]
pub struct Queue {
    tasks: SyncSender<Task>,
    layout: JsonLayout,
}

impl Queue {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn start(writer: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (tasks, to_do) = sync_channel(QUEUE);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write(writer, &to_do))?;
        Ok(Self {
            tasks,
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
        if let Err(TrySendError::Full(_)) = self.tasks.try_send(Task::Write(line)) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until all lines are written, or a reader has been too slow for that.
    fn flush(&self) -> Result<(), logforth::Error> {
        let (done, told) = sync_channel(1);
        if self.tasks.try_send(Task::Tell(done)).is_ok() {
            // Late or not: the process goes on.
            let _ = told.recv_timeout(FLUSH);
        }
        Ok(())
    }
}

/// Writes lines until the process ends. There is nowhere to tell that standard
/// output is closed, so that is only counted.
fn write(mut writer: impl Write, tasks: &Receiver<Task>) {
    while let Ok(task) = tasks.recv() {
        match task {
            Task::Write(line) => {
                if writer.write_all(&line).is_err() {
                    DROPPED.fetch_add(1, Ordering::Relaxed);
                }
            }
            Task::Tell(done) => {
                // Whoever asked may not wait any more.
                let _ = done.try_send(());
            }
        }
    }
}
