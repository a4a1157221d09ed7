//! The endpoints of a run, and their rows at the platform.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::roster;
use woodgap_platform::table::{Place, Transaction};

use super::Scene;
use crate::endpoint;
use crate::fault::{Listed, Restart};
use crate::proxy::Proxy;
use crate::rows;

/// When an endpoint started first, in ms since the Unix epoch; each life of it begins 1 ms
/// later than the one before.
const FIRST_START: u64 = 1_796_256_000_000;
/// How long an endpoint that starts twice listens in between.
const BRIEFLY: Duration = Duration::from_millis(10);
/// How long after its answers the row of an endpoint may tell that it leaves.
const LISTED_LATE: Duration = Duration::from_millis(3_500);
/// How many rows that can't be used have keys of their own; later ones go over these.
const MOST_LITTER: usize = 400;

/// An endpoint with its row and the way to it.
#[derive(Clone)]
pub struct Member {
    pub row: roster::Endpoint,
    pub proxy: Proxy,
    pub endpoint: endpoint::Endpoint,
    /// Held while it starts again.
    restarting: Rc<tokio::sync::Mutex<()>>,
}

impl Scene {
    pub(super) async fn add_endpoint(&self, seed: u64) -> Member {
        let number = self.next_endpoint.get();
        self.next_endpoint.set(number + 1);
        let name = format!("e-{number}");
        let (record, ended) = (self.record.clone(), self.ended.clone());
        let endpoint = {
            let versions = self.endpoints_kind.versions(number);
            endpoint::Endpoint::start(name.clone(), seed, record, ended, versions).await
        };
        let proxy = Proxy::start(endpoint.address, self.record.clone()).await;
        let row = roster::Endpoint {
            life: name::Life {
                id: name::Endpoint::from(name),
                started_unix: Some(Millis(FIRST_START)),
            },
            service: "all".to_owned(),
            address: proxy.address,
            data_centre: name::DataCentre::from("dub-a"),
            slots: endpoint::SLOTS,
            leaving: false,
            reclaimable: false,
            cold_for: Millis::ZERO,
            version: endpoint.version(0).to_owned(),
        };
        self.list(&row).await;
        self.record.serves(row.life.id.as_str(), &row.version);
        Member {
            row,
            proxy,
            endpoint,
            restarting: Rc::default(),
        }
    }

    pub(super) async fn list(&self, endpoint: &roster::Endpoint) {
        let _listing = self.listing.lock().await;
        self.write_listed(endpoint).await;
    }

    pub(super) async fn write_listed(&self, endpoint: &roster::Endpoint) {
        let value = serde_json::to_value(endpoint).expect("an endpoint is JSON");
        let place = Place::new("relay-endpoints", endpoint.life.id.as_str());
        self.write(place, value).await;
    }

    pub(super) async fn replace(&self, at: usize, seed: u64) {
        let fresh = self.add_endpoint(seed).await;
        let replaced = std::mem::replace(&mut self.endpoints.borrow_mut()[at], fresh);
        // Half of the rows tell so late, as when the platform is away.
        replaced.endpoint.say_leaving();
        if seed.is_multiple_of(2) {
            tokio::time::sleep(LISTED_LATE).await;
        }
        let mut old = replaced.row;
        old.leaving = true;
        self.list(&old).await;
        let accepted = (old.life.id.to_string(), Instant::now());
        self.left.borrow_mut().push(accepted);
    }

    /// Has an endpoint start again under its name and address.
    pub(super) async fn start_again(&self, at: usize, restart: Restart) {
        let member = self.endpoints.borrow()[at].clone();
        let _restarting = member.restarting.lock().await;
        let resume = async || {
            tokio::time::sleep(restart.gap).await;
            member.endpoint.resume().await;
        };
        if let Listed::Early(span) = restart.listed {
            self.list_ahead(&member, 1).await;
            tokio::time::sleep(span).await;
        }
        member.endpoint.stop();
        if restart.is_twice {
            resume().await;
            tokio::time::sleep(BRIEFLY).await;
            member.endpoint.stop();
        }
        let life = member.endpoint.life();
        match restart.listed {
            Listed::Early(_) | Listed::Before => {
                tokio::join!(self.list_again(&member), resume());
            }
            Listed::After(span) => {
                resume().await;
                tokio::time::sleep(span).await;
                self.list_again(&member).await;
            }
        }
        // A request may have ended it again meanwhile.
        if member.endpoint.life() == life && !self.is_replaced(&member) {
            let version = member.endpoint.version(life);
            self.record.serves(member.row.life.id.as_str(), version);
        }
    }

    /// Lists an endpoint in its life of now, unless another one has come in its place.
    pub(super) async fn list_again(&self, member: &Member) {
        self.list_ahead(member, 0).await;
    }

    /// Lists it in the life that comes so many after the one of now.
    pub(super) async fn list_ahead(&self, member: &Member, lives: u64) {
        let _listing = self.listing.lock().await;
        if self.is_replaced(member) {
            return;
        }
        let mut row = member.row.clone();
        let life = member.endpoint.life() + lives;
        row.life.started_unix = Some(Millis(FIRST_START + life));
        member.endpoint.version(life).clone_into(&mut row.version);
        self.write_listed(&row).await;
    }

    pub(super) fn is_replaced(&self, member: &Member) -> bool {
        let endpoints = self.endpoints.borrow();
        !endpoints.iter().any(|it| it.row == member.row)
    }

    /// Writes something that can't be used over the row of an endpoint.
    pub(super) async fn spoil(&self, member: &Member, seed: u64) {
        let _listing = self.listing.lock().await;
        if self.is_replaced(member) {
            return;
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let value = rows::broken(&member.row, false, &mut random);
        let place = Place::new("relay-endpoints", member.row.life.id.as_str());
        self.write(place, value).await;
    }

    /// Writes so many rows that can't be used, which come before and after sound ones.
    pub(super) async fn litter(&self, count: usize, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let sound = self.endpoints.borrow()[0].row.clone();
        let first = self.next_litter.get() % MOST_LITTER;
        self.next_litter.set(first + count);
        let is_many = count > 10;
        let mut transaction = Transaction::default();
        for number in first..first + count {
            let side = if number % 2 == 0 { "a" } else { "z" };
            let place = Place::new("relay-endpoints", &format!("{side}-{number}"));
            transaction = transaction.put(place, rows::broken(&sound, is_many, &mut random));
        }
        self.transact(&transaction).await;
    }
}
