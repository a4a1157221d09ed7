//! What a process holds for its callers, bounded in sum: who gets room, and who gives way.
//!
//! Single requests have limits of their own; many legal ones together may still need more memory
//! than the machine has. So all that is held for callers takes room from one [`Budget`]: bodies
//! that are being read or wait, long heads, what callers leave unread or send ahead of time. Where
//! room runs short, those who use it worst give way first: [`Registry`] decides who that is.

pub mod budget;
pub mod pace;
pub mod registry;

pub use budget::Budget;
pub use pace::Pace;
pub use registry::Registry;
