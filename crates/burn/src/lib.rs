//! Stub.
