//! The waiting list of one service at one entry.
