//! Addresses of the loopback that nothing else uses: while nothing listens at one, its port may not
//! go to another test.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU8, Ordering};

/// Another address that is this process's own.
pub fn own_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high.max(1), low, number)
}
