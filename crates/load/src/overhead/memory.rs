//! Resident memory of a process, as Linux tells it.

use std::cell::Cell;
use std::fs;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;

/// Bytes in a page, on every machine that this runs on.
const PAGE: u64 = 4_096;

/// The resident memory of a process in bytes; none if there is no such process.
pub fn resident(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}

/// Watches a process's memory until it is dropped.
#[derive(Debug)]
pub struct Watch {
    peak: Rc<Cell<Option<u64>>>,
    looking: JoinHandle<()>,
}

impl Watch {
    /// Looks at the memory again and again.
    pub fn start(pid: Option<u32>, period: Duration) -> Self {
        let peak = Rc::new(Cell::new(None));
        let seen = Rc::clone(&peak);
        let looking = actix_rt::spawn(async move {
            while let Some(pid) = pid {
                seen.set(seen.get().max(resident(pid)));
                sleep(period).await;
            }
        });
        Self { peak, looking }
    }

    /// The most that was seen, in bytes.
    pub fn peak(&self) -> Option<u64> {
        self.peak.get()
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.looking.abort();
    }
}
