//! Notices that a caller went away while it waits for its answer.

use std::any::Any;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::dev::Extensions;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};

/// How often a waiting caller's connection is looked at.
const LOOK: Duration = Duration::from_millis(200);

/// One caller's connection, looked at without reading from it.
///
/// A caller that closed its sending half counts as gone: HTTP clients do so when
/// they give up, and no answer can be told from a cancelled one afterwards.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    socket: Option<Arc<OwnedFd>>,
}

impl Presence {
    /// Remembers a new connection's socket; called once per connection.
    pub fn remember(connection: &dyn Any, extensions: &mut Extensions) {
        let Some(stream) = connection.downcast_ref::<actix_web::rt::net::TcpStream>() else {
            return;
        };
        if let Ok(socket) = rustix::io::dup(stream) {
            extensions.insert(Self {
                socket: Some(Arc::new(socket)),
            });
        }
    }

    /// The presence of the caller of a request.
    pub fn of(request: &HttpRequest) -> Self {
        request.conn_data::<Self>().cloned().unwrap_or_default()
    }

    /// Waits until the caller is gone.
    pub async fn gone(&self) {
        let Some(socket) = &self.socket else {
            return std::future::pending().await;
        };
        while connected(socket) {
            tokio::time::sleep(LOOK).await;
        }
    }
}

fn connected(socket: &OwnedFd) -> bool {
    let mut byte = [0; 1];
    match recv(socket, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((_, length)) => length > 0,
        Err(error) => error == Errno::AGAIN || error == Errno::INTR,
    }
}
