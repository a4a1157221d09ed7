//! A request's place at an endpoint.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use woodgap_core::clock::Millis;
use woodgap_core::fingerprint::Fingerprint;
use woodgap_core::name;
use woodgap_core::relay::engine::{Choice, Ticket};
use woodgap_core::relay::health::HealthSignal;

use crate::request::Admitted;
use crate::request::crash::{self, Suspect};
use crate::state::State;
use crate::upstream::{Connection, Error, Head};

/// The largest answer that is read only so that its connection can be used again,
/// in bytes.
pub const MOST_SURPLUS_BYTES: usize = 64 * 1024;

/// A request's place at an endpoint: it counts as load until this is dropped.
pub struct Place {
    state: Rc<State>,
    ticket: Ticket,
    address: SocketAddr,
    fingerprint: Fingerprint,
    taken: Millis,
    /// How many pieces of the answer have come.
    pieces: Cell<u32>,
    is_plain: bool,
    /// Who is told of, where requests are counted.
    workspace: Option<name::Workspace>,
    /// Whether the endpoint has begun to run the request, as far as is known.
    has_begun: Cell<bool>,
    /// How long the answer was expected to take, in ms.
    expected: f64,
    /// Tokens that an event of a model engine holds; 0 for a plain service.
    event_tokens: u32,
}

impl Place {
    /// Takes a place at the chosen endpoint.
    pub fn take(state: &Rc<State>, choice: &Choice, request: &Admitted) -> Self {
        let ask = request.ask();
        let now = state.now();
        let ticket = state.loads.borrow_mut().begin(choice, &ask, now);
        state.pool.borrow_mut().acquire(ticket.endpoint());
        if state.roster.borrow().is_cold(ticket.endpoint(), now) {
            state.warmed.borrow_mut().record(ticket.endpoint(), now);
        }
        Self {
            state: Rc::clone(state),
            ticket,
            address: choice.endpoint.address,
            fingerprint: request.fingerprint,
            taken: now,
            pieces: Cell::new(0),
            is_plain: ask.work.is_none(),
            workspace: request.workspace.as_ref().map(|it| it.name.as_str().into()),
            has_begun: Cell::new(false),
            expected: choice.expected_wait,
            event_tokens: ask.engine.map_or(0, |engine| engine.event_tokens),
        }
    }

    /// Where it is.
    pub fn endpoint(&self) -> &name::Life {
        self.ticket.endpoint()
    }

    /// Notes the first byte of the answer.
    pub fn answered(&self) {
        let now = self.state.now();
        let mut loads = self.state.loads.borrow_mut();
        loads.record_first_byte(&self.ticket, self.is_plain, now);
    }

    /// Notes that the endpoint has begun to run the request, for the report of use.
    pub fn begun(&self) {
        if let Some(workspace) = self.workspace.as_ref().filter(|_| !self.has_begun.get()) {
            self.has_begun.set(true);
            self.state.count_use(workspace);
        }
    }

    /// Notes an event of the answer.
    pub fn event(&self) {
        self.pieces.set(self.pieces.get().saturating_add(1));
        if self.event_tokens > 0 {
            let now = self.state.now();
            let mut loads = self.state.loads.borrow_mut();
            loads.record_event(&self.ticket, self.event_tokens, now);
        }
    }

    /// Notes what the attempt tells of the endpoint.
    pub fn note(&self, sign: HealthSignal) {
        let now = self.state.now();
        let endpoint = self.ticket.endpoint();
        self.state
            .loads
            .borrow_mut()
            .record_signal(endpoint, sign, now);
    }

    /// Notes that the answer can't be read to its end.
    pub fn failed(&self, error: &Error) {
        self.note(HealthSignal::Failure);
        if matches!(error, Error::Cut(_)) {
            self.broke_off();
        }
    }

    /// Notes that the connection with the request broke: its endpoint may have crashed.
    pub fn broke_off(&self) {
        let took = (self.state.now() - self.taken).0 as f64;
        // An answer may be lost on the way: it was due.
        if took >= self.expected {
            self.begun();
        }
        let suspect = Suspect {
            request: self.fingerprint,
            sent: self.taken,
            cut: self.state.now(),
            pieces: self.pieces.get(),
        };
        crash::check(&self.state, self.endpoint(), self.address, suspect);
    }

    /// Notes that the request has ended, and its endpoint goes on. One that fails it may not
    /// have begun to run it.
    pub fn survived(&self, status: StatusCode) {
        if !status.is_server_error() {
            self.state.survived(self.fingerprint);
        }
    }

    /// Keeps the connection for the next request, if it can be used again.
    pub fn keep(&self, connection: Connection, rest: Millis) {
        let now = self.state.now();
        let mut pool = self.state.pool.borrow_mut();
        pool.put(self.ticket.endpoint(), connection, rest, now);
    }

    /// Reads the rest of a short answer that nobody needs, so that its connection
    /// can be used again.
    pub async fn keep_after_decline(
        &self,
        mut connection: Connection,
        answer: &Head,
        request: &Admitted,
        rest: Millis,
    ) {
        let Ok(framing) = answer.framing(&request.method) else {
            return;
        };
        if connection
            .read_body(framing, MOST_SURPLUS_BYTES)
            .await
            .is_ok()
        {
            self.keep(connection, rest);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.loads.borrow_mut().end(&self.ticket, now);
        self.state.pool.borrow_mut().release(self.ticket.endpoint());
    }
}
