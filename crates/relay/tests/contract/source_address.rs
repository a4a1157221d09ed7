//! The local address of connections to endpoints.

use std::net::{IpAddr, Ipv4Addr, TcpListener};

use actix_rt::System;
use woodgap_relay::start::Sockets;
use woodgap_relay::upstream::Connection;
use woodgap_settings::relay::{self, Relay};

use super::site::SETTINGS;

fn settings(connect_from: &str) -> Relay {
    let setting = format!("{{\n\"connect_from\": \"{connect_from}\",");
    relay::parse(&SETTINGS.replacen('{', &setting, 1), "test").unwrap()
}

#[test]
fn connections_come_from_the_address_that_is_named() {
    let endpoint = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = endpoint.local_addr().unwrap();
    let source = settings("127.0.0.9").connect_from;
    let opened = System::new().block_on(Connection::open_from(source, address));
    let (_, from) = endpoint.accept().unwrap();
    assert!(opened.is_ok());
    assert_eq!(from.ip(), IpAddr::from([127, 0, 0, 9]));
}

/// Else each connection would fail, as if all links were lost.
#[test]
fn an_address_of_another_instance_is_refused_at_the_start() {
    assert!(Sockets::open(&mut settings("127.0.0.9")).is_ok());
    let refused = Sockets::open(&mut settings("192.0.2.1")).unwrap_err();
    assert!(refused.to_string().contains("connect_from"), "{refused}");
}
