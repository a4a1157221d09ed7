//! Stub.

fn main() {}
