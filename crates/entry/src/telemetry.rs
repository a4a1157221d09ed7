//! Logs and metrics.

pub mod logs;
pub mod metrics;
