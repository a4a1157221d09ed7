//! Messages of one step, gathered by the entry that they go to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use woodgap_core::membership::Members;
use woodgap_core::message::Message;
use woodgap_wire::frame::ANY;

use crate::control::{Socket, stream};

/// Gathers messages, so that those to one entry share datagrams.
#[derive(Debug, Default)]
pub struct Outbox {
    messages: BTreeMap<SocketAddr, Vec<Message>>,
}

impl Outbox {
    /// Puts a message in.
    pub fn put(&mut self, to: SocketAddr, message: Message) {
        self.messages.entry(to).or_default().push(message);
    }

    /// Sends everything.
    pub fn flush(&mut self, members: &Members, socket: &Arc<Socket>) {
        for (address, messages) in std::mem::take(&mut self.messages) {
            let life = members.by_peer(address);
            let to = life.map_or(ANY, |member| member.incarnation);
            let large = socket.send(to, address, &messages);
            if large.is_empty() || to == ANY {
                continue;
            }
            let socket = Arc::clone(socket);
            actix_rt::spawn(async move {
                if let Err(error) = stream::send(socket, to, address, large).await {
                    log::warn!(to = address.to_string(), error = error.to_string(); "large messages not sent");
                }
            });
        }
    }
}
