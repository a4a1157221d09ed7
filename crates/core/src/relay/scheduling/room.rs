//! The capacity of one service, and the part of it that each request may use.
