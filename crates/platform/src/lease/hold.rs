//! One lease, kept by a task: others say what they want of it and see how it stands.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::AbortHandle;
use woodgap_core::clock::Millis;
use woodgap_core::lease::{Fence, Holder, LeaseExpired, Machine, Step, Term, View, Want};

use crate::lease::{Time, rows};
use crate::table::Table;

/// A lease that a task keeps for as long as a copy of this is there.
#[derive(Clone)]
pub struct Hold<C> {
    state: Rc<State>,
    time: C,
    _task: Rc<Task>,
}

/// What the task and the others share.
struct State {
    want: Cell<Want>,
    wanted: Notify,
    view: Cell<View>,
    viewed: Notify,
    /// As `viewed`, and kept for the one that follows the lease step by step.
    news: Notify,
    suspect: Cell<bool>,
}

/// Ends the task with the last copy.
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl<C: Time> Hold<C> {
    /// Starts the task of a lease; nothing is wanted of it yet, and nothing read.
    pub fn start<T: Table + 'static>(
        name: String,
        table: T,
        time: C,
        own: Holder,
        term: Term,
    ) -> Self {
        let state = Rc::new(State {
            want: Cell::new(Want::Idle),
            wanted: Notify::new(),
            view: Cell::default(),
            viewed: Notify::new(),
            news: Notify::new(),
            suspect: Cell::new(false),
        });
        let machine = Machine::new(own, term, rand::random());
        let keeping = keep(machine, name, table, time.clone(), Rc::clone(&state));
        let task = tokio::task::spawn_local(keeping);
        Self {
            state,
            time,
            _task: Rc::new(Task(task.abort_handle())),
        }
    }

    /// Says what is wanted of the lease.
    pub fn want(&self, want: Want) {
        if self.state.want.replace(want) != want {
            self.state.wanted.notify_one();
        }
    }

    /// How the lease stands.
    pub fn view(&self) -> View {
        self.state.view.get()
    }

    /// Whether the lease may be acted under at this moment: the clock is read
    /// here, after all that went before.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] if not.
    pub fn check(&self) -> Result<Fence, LeaseExpired> {
        self.check_for(Millis::ZERO)
    }

    /// Whether the lease may be acted under for this long from now.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] if not.
    pub fn check_for(&self, span: Millis) -> Result<Fence, LeaseExpired> {
        self.view().check(self.time.now() + span)
    }

    /// A write under the fence was refused: the rows are read at once.
    pub fn suspect(&self) {
        self.state.suspect.set(true);
        self.state.wanted.notify_one();
    }

    /// Waits until the lease stands differently than at the last such wait; for
    /// one caller alone.
    pub async fn changed(&self) {
        self.state.news.notified().await;
    }

    /// Waits until the lease is not known to be under this fence any more. One
    /// whose time is over, but which nobody else has taken, still is.
    pub async fn lost(&self, fence: Fence) {
        loop {
            let viewed = self.state.viewed.notified();
            if self.view().fence() != Some(fence) {
                return;
            }
            viewed.await;
        }
    }

    /// Waits until the lease may be acted under.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] if it is lost instead.
    pub async fn held(&self, fence: Fence) -> Result<(), LeaseExpired> {
        loop {
            let viewed = self.state.viewed.notified();
            if self.check() == Ok(fence) {
                return Ok(());
            }
            if self.view().fence() != Some(fence) {
                return Err(LeaseExpired);
            }
            viewed.await;
        }
    }
}

async fn keep<T: Table, C: Time>(
    mut machine: Machine,
    name: String,
    table: T,
    time: C,
    state: Rc<State>,
) {
    loop {
        if state.suspect.take() {
            machine.suspect(time.now());
        }
        let step = machine.step(time.now(), state.want.get());
        // A step may find that the time is over.
        show(&state, machine.view(), &name);
        match step {
            Step::Rest(until) => {
                let span = until - time.now();
                let rest = tokio::time::sleep(Duration::from_millis(span.0));
                tokio::select! {
                    () = rest => {}
                    () = state.wanted.notified() => {}
                }
            }
            Step::Read => {
                let seen = rows::read(&table, &name).await;
                if let Err(error) = &seen {
                    log::debug!(lease = name.as_str(), error:% = error; "lease not read");
                }
                machine.on_read(time.now(), seen.ok().as_ref());
            }
            Step::Write(write) => {
                let answer = rows::write(&table, &name, &write).await;
                machine.on_write(time.now(), answer);
            }
        }
        show(&state, machine.view(), &name);
    }
}

/// Tells the others how the lease stands.
fn show(state: &State, view: View, name: &str) {
    let before = state.view.replace(view);
    if before == view {
        return;
    }
    if before.fence() != view.fence() {
        let fence = view.fence().map_or(0, |fence| fence.0);
        log::info!(lease = name, fence = fence; "lease changed hands");
    }
    state.viewed.notify_waiters();
    state.news.notify_one();
}
