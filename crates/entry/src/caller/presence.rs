//! Has the system notice callers that are gone.
//!
//! The HTTP server reads from a connection while its answer is awaited or sent,
//! and drops the answer once the caller has closed it. What remains are callers
//! that vanish without a word, and those that take nothing.

use std::any::Any;
use std::os::fd::AsFd;
use std::time::Duration;

use actix_web::dev::Extensions;
use actix_web::rt::net::TcpStream;
use rustix::io::Result;
use rustix::net::sockopt;

/// How long a silent connection is left alone before its caller is asked whether
/// it is still there.
const IDLE: Duration = Duration::from_secs(10);
/// How often it is asked.
const PERIOD: Duration = Duration::from_secs(5);

/// Prepares a new connection: it breaks once its caller has answered nothing, or
/// taken nothing, for the time given.
pub fn watch(connection: &dyn Any, timeout: Duration) {
    let Some(stream) = connection.downcast_ref::<TcpStream>() else {
        return;
    };
    if let Err(error) = set(stream, timeout) {
        log::warn!(error = error.to_string(); "vanished callers will be noticed late");
    }
}

/// The form that the HTTP server wants.
pub fn watcher(timeout: Duration) -> impl Fn(&dyn Any, &mut Extensions) + Send + Sync + 'static {
    move |connection, _| watch(connection, timeout)
}

fn set(stream: impl AsFd, timeout: Duration) -> Result<()> {
    sockopt::set_socket_keepalive(&stream, true)?;
    sockopt::set_tcp_keepidle(&stream, IDLE)?;
    sockopt::set_tcp_keepintvl(&stream, PERIOD)?;
    let timeout = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(&stream, timeout)
}
