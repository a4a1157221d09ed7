//! Planned retries of refused callers.
