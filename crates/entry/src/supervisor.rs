//! Keeps actors running: one that ends, by a panic or otherwise, is started again.

use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, WrapFuture};
use actix_rt::ArbiterHandle;
use arc_swap::ArcSwapOption;
use tokio::sync::oneshot;

/// Wait before the first restart; doubles with each restart in a row.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait before a restart.
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);
/// A life this long makes the next wait the first one again.
const HEALTHY_LIFE: Duration = Duration::from_secs(30);

/// Held by an actor: its drop, also while a panic unwinds, tells the supervisor.
#[derive(Debug)]
pub struct Guard {
    _ended: oneshot::Sender<()>,
}

/// A supervised actor's current address.
#[derive(Debug)]
pub struct Branch<A: Actor> {
    address: Arc<ArcSwapOption<Addr<A>>>,
}

impl<A: Actor> Clone for Branch<A> {
    fn clone(&self) -> Self {
        Self {
            address: Arc::clone(&self.address),
        }
    }
}

impl<A: Actor> Default for Branch<A> {
    fn default() -> Self {
        Self {
            address: Arc::new(ArcSwapOption::empty()),
        }
    }
}

impl<A: Actor> Branch<A> {
    /// The address of the running actor; none between its end and its restart.
    pub fn address(&self) -> Option<Addr<A>> {
        let address = self.address.load_full()?;
        address.connected().then(|| Addr::clone(&address))
    }

    /// Starts the branch's actor on a thread and keeps it running there.
    pub fn start<F>(&self, arbiter: &ArbiterHandle, name: &'static str, make: F)
    where
        A: Actor<Context = Context<A>>,
        F: Fn(Guard) -> A + Send + 'static,
    {
        let address = Arc::clone(&self.address);
        arbiter.spawn_fn(move || {
            actix_rt::spawn(keep_running(name, make, address));
        });
    }
}

/// Starts an actor on a thread and keeps it running there.
pub fn supervise<A, F>(arbiter: &ArbiterHandle, name: &'static str, make: F) -> Branch<A>
where
    A: Actor<Context = Context<A>>,
    F: Fn(Guard) -> A + Send + 'static,
{
    let branch = Branch::default();
    branch.start(arbiter, name, make);
    branch
}

/// An actor that does one piece of work without end.
struct Work<F> {
    begin: F,
    _guard: Guard,
}

impl<F, W> Actor for Work<F>
where
    F: Fn() -> W + Unpin + 'static,
    W: Future<Output = ()> + 'static,
{
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let work = (self.begin)();
        context.spawn(work.into_actor(self));
    }
}

/// Begins a piece of work on a thread, and again whenever it panics.
pub fn keep_doing<F, W>(arbiter: &ArbiterHandle, name: &'static str, begin: F)
where
    F: Fn() -> W + Clone + Send + Unpin + 'static,
    W: Future<Output = ()> + 'static,
{
    supervise(arbiter, name, move |guard| Work {
        begin: begin.clone(),
        _guard: guard,
    });
}

async fn keep_running<A, F>(name: &'static str, make: F, slot: Arc<ArcSwapOption<Addr<A>>>)
where
    A: Actor<Context = Context<A>>,
    F: Fn(Guard) -> A,
{
    let mut backoff = FIRST_BACKOFF;
    loop {
        let started = tokio::time::Instant::now();
        let (sender, ended) = oneshot::channel();
        slot.store(Some(Arc::new(make(Guard { _ended: sender }).start())));
        // The sender is never used: its drop is the message.
        let _ = ended.await;
        slot.store(None);
        if started.elapsed() >= HEALTHY_LIFE {
            backoff = FIRST_BACKOFF;
        }
        log::error!(branch = name, backoff_ms = u64::try_from(backoff.as_millis()).unwrap_or(0); "actor ended, restarting it");
        tokio::time::sleep(backoff).await;
        backoff = LONGEST_BACKOFF.min(backoff * 2);
    }
}
