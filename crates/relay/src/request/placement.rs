//! The placement of a request on an endpoint.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::quarantine::{Cause, MAX_EARLY_PIECES};
use woodgap_core::relay::engine::{Choice, Ticket};
use woodgap_core::relay::health::HealthSignal;

use crate::request::AdmittedRequest;
use crate::request::crash::{self, End, Suspect};
use crate::state::State;
use crate::upstream::{Connection, Error, Head};

/// Maximum size, in bytes, of a response body that is read and discarded so that the connection
/// can be reused.
pub const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// A request in flight at an endpoint; counts as load until dropped.
pub struct Placement {
    state: Rc<State>,
    ticket: Ticket,
    address: SocketAddr,
    causes: Rc<[Cause]>,
    started: Millis,
    /// Number of body chunks received.
    pieces: Cell<u32>,
    is_plain: bool,
    /// The workspace that the request is counted for in the usage report.
    workspace: Option<name::Workspace>,
    /// Whether the endpoint is known to have started the request.
    has_started: Cell<bool>,
    /// Expected wait for the response, in ms.
    expected_wait: f64,
    /// Tokens per event of a model engine; 0 for a plain service.
    event_tokens: u32,
}

impl Placement {
    /// Places the request on the chosen endpoint.
    pub fn place(state: &Rc<State>, choice: &Choice, request: &AdmittedRequest) -> Self {
        let profile = request.profile();
        let now = state.now();
        let ticket = state.loads.borrow_mut().begin(choice, &profile, now);
        state.pool.borrow_mut().acquire(ticket.endpoint());
        if state.roster.borrow().is_cold(ticket.endpoint(), now) {
            state.warmed.borrow_mut().record(ticket.endpoint(), now);
        }
        state
            .rate_limits
            .borrow_mut()
            .record_send(ticket.endpoint());
        state
            .back_offs
            .borrow_mut()
            .record_send(ticket.endpoint(), now);
        state
            .quarantine
            .borrow_mut()
            .record_send(&request.causes, now);
        Self {
            state: Rc::clone(state),
            ticket,
            address: choice.endpoint.address,
            causes: Rc::clone(&request.causes),
            started: now,
            pieces: Cell::new(0),
            is_plain: profile.work.is_none(),
            workspace: request.workspace.as_ref().map(|it| it.name.as_str().into()),
            has_started: Cell::new(false),
            expected_wait: choice.expected_wait,
            event_tokens: profile.engine.map_or(0, |engine| engine.event_tokens),
        }
    }

    /// The endpoint that handles the request.
    pub fn endpoint(&self) -> &name::Life {
        self.ticket.endpoint()
    }

    /// Records that the endpoint refused the request.
    pub fn record_refusal(&self) {
        self.state.loads.borrow_mut().record_refusal(&self.ticket);
        let now = self.state.now();
        let mut brittle = self.state.brittle.borrow_mut();
        brittle.record_refusal(self.ticket.endpoint(), now);
    }

    /// Records the first byte of a response that is no refusal.
    pub fn record_first_byte(&self) {
        let now = self.state.now();
        let mut loads = self.state.loads.borrow_mut();
        loads.record_first_byte(&self.ticket, self.is_plain, now);
        drop(loads);
        crash::record_response(&self.state, self.endpoint());
    }

    /// Records that the endpoint has started the request, for the usage report.
    pub fn record_start(&self) {
        if let Some(workspace) = self.workspace.as_ref().filter(|_| !self.has_started.get()) {
            self.has_started.set(true);
            self.state.count_use(workspace);
        }
    }

    /// Records a chunk of the response.
    pub fn event(&self) {
        self.pieces.set(self.pieces.get().saturating_add(1));
        crash::record_response(&self.state, self.endpoint());
        if self.pieces.get() == MAX_EARLY_PIECES + 1 {
            self.state.progressed(&self.causes);
        }
        if self.event_tokens > 0 {
            let now = self.state.now();
            let mut loads = self.state.loads.borrow_mut();
            loads.record_event(&self.ticket, self.event_tokens, now);
        }
    }

    /// Records a health signal for the endpoint.
    pub fn record_signal(&self, signal: HealthSignal) {
        let now = self.state.now();
        let endpoint = self.ticket.endpoint();
        self.state
            .loads
            .borrow_mut()
            .record_signal(endpoint, signal, now);
    }

    /// Records that reading the response failed.
    pub fn record_failure(&self, error: &Error) {
        self.record_signal(HealthSignal::Failure);
        if matches!(error, Error::Cut(_)) {
            self.record_disconnect();
        }
    }

    /// Records that the connection was lost during the request: the endpoint may have crashed.
    pub fn record_disconnect(&self) {
        let elapsed = (self.state.now() - self.started).0 as f64;
        // The response was due, so it may have been lost in transit after the request started.
        if elapsed >= self.expected_wait {
            self.record_start();
        }
        let suspect = self.suspect(None);
        crash::check_for_crash(&self.state, self.endpoint(), self.address, suspect);
    }

    /// Checks a response that has ended with its connection. Returns whether it is taken for
    /// complete.
    pub async fn is_complete(&self, end: End) -> bool {
        let suspect = self.suspect(Some(end));
        crash::is_complete(&self.state, self.endpoint(), self.address, suspect).await
    }

    fn suspect(&self, end: Option<End>) -> Suspect {
        Suspect {
            causes: Rc::clone(&self.causes),
            sent: self.started,
            disconnected: self.state.now(),
            pieces: self.pieces.get(),
            end,
        }
    }

    /// Records that the endpoint survived the request. Errors don't count, as the endpoint may not
    /// have started the request.
    pub fn record_survival(&self, status: StatusCode) {
        if status.is_success() {
            let now = self.state.now();
            self.state.survived(&self.causes, now);
        }
    }

    /// Returns the connection to the pool if it can be reused.
    pub fn return_connection(&self, connection: Connection, max_idle: Millis) {
        let now = self.state.now();
        let mut pool = self.state.pool.borrow_mut();
        pool.put(self.ticket.endpoint(), connection, max_idle, now);
    }

    /// Reads and discards the body of a short response, so that the connection can be reused.
    pub async fn drain_connection(
        &self,
        mut connection: Connection,
        response: &Head,
        request: &AdmittedRequest,
        max_idle: Millis,
    ) {
        let Ok(framing) = response.framing(&request.method) else {
            return;
        };
        if connection
            .read_body(framing, MAX_DISCARDED_BYTES)
            .await
            .is_ok()
        {
            self.return_connection(connection, max_idle);
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.loads.borrow_mut().end(&self.ticket, now);
        self.state.pool.borrow_mut().release(self.ticket.endpoint());
    }
}
