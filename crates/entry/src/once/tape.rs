//! The recording of one answer, followed by any number of readers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use woodgap_core::name;
use woodgap_core::verdict::Verdict;

use crate::once::Room;
use crate::request::{Code, Item, Problem};

/// Items that wait for a slow reader once an answer is too large to be kept whole.
const WINDOW: usize = 8;
/// What an item costs beside its text, in bytes.
const OVERHEAD: usize = 64;

/// A recorded answer.
///
/// As long as it is within its bounds, the endpoint never waits for a reader and a
/// new reader begins at the first item. Beyond them only what the present readers
/// still need is held, the endpoint waits for the slowest of them, and no new
/// reader can begin.
#[derive(Debug)]
pub struct Tape {
    room: Arc<Room>,
    most: usize,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    request: name::Request,
    items: VecDeque<Item>,
    /// The number of the first item held.
    first: usize,
    bytes: usize,
    whole: bool,
    /// The number of the next item that each reader wants.
    readers: BTreeMap<u64, usize>,
    next_reader: u64,
    end: Option<Item>,
}

impl Tape {
    /// An empty recording of a request's answer, of at most this many bytes.
    pub fn new(request: name::Request, room: Arc<Room>, most: usize) -> Self {
        let state = State {
            request,
            items: VecDeque::new(),
            first: 0,
            bytes: 0,
            whole: true,
            readers: BTreeMap::new(),
            next_reader: 0,
            end: None,
        };
        Self {
            room,
            most,
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    /// The request whose answer this is.
    pub fn request(&self) -> name::Request {
        self.lock().request
    }

    /// The answer turns out to be that of another entry's request.
    pub(super) fn answers(&self, request: name::Request) {
        self.lock().request = request;
    }

    /// Records an item that is not the last. Waits for slow readers if the answer
    /// is beyond its bounds; those that are slower than the patience are cut off.
    pub async fn write(&self, mut item: Item, patience: Duration) {
        loop {
            let changed = self.changed.notified();
            item = match self.push(item) {
                Ok(()) => return self.changed.notify_waiters(),
                Err(item) => item,
            };
            if tokio::time::timeout(patience, changed).await.is_err() {
                self.lock().cut_slowest();
            }
        }
    }

    /// Records an item, or gives it back while readers are too slow.
    fn push(&self, item: Item) -> Result<(), Item> {
        let size = size(&item);
        let mut state = self.lock();
        if state.whole && (state.bytes + size > self.most || !self.room.take(size)) {
            state.whole = false;
        } else if state.whole {
            state.push(item, size);
            return Ok(());
        }
        self.room.give(state.drop_passed());
        if state.items.len() >= WINDOW {
            return Err(item);
        }
        self.room.force(size);
        state.push(item, size);
        Ok(())
    }

    /// Records the last item.
    pub fn finish(self: &Arc<Self>, item: Item) {
        let mut state = self.lock();
        if state.end.is_some() {
            return;
        }
        state.end = Some(item);
        drop(state);
        self.room.ended(Arc::downgrade(self));
        self.changed.notify_waiters();
    }

    /// The last item, once there is one.
    pub fn end(&self) -> Option<Item> {
        self.lock().end.clone()
    }

    /// All items but the last, if they are all held.
    pub fn items(&self) -> Option<Vec<Item>> {
        let state = self.lock();
        (state.first == 0 && state.whole).then(|| state.items.iter().cloned().collect())
    }

    /// Forgets the items of an ended answer that nobody reads.
    pub(super) fn forget(&self) {
        let mut state = self.lock();
        if state.end.is_some() && state.readers.is_empty() {
            self.room.give(state.drop_passed());
        }
    }

    /// A reader from the first item on; none if that is no longer held.
    pub fn attach(self: &Arc<Self>) -> Option<Reader> {
        let mut state = self.lock();
        let next = match &state.end {
            // Of a failed answer the failure alone is of use.
            Some(Item::Failed(_)) if state.first > 0 => state.first + state.items.len(),
            _ if state.first > 0 => return None,
            _ => 0,
        };
        let id = state.next_reader;
        state.next_reader += 1;
        state.readers.insert(id, next);
        Some(Reader {
            tape: Arc::clone(self),
            id,
        })
    }

    /// Whether there is a reader.
    pub fn is_read(&self) -> bool {
        !self.lock().readers.is_empty()
    }

    /// Waits until there is no reader.
    pub async fn unread(&self) {
        loop {
            let changed = self.changed.notified();
            if !self.is_read() {
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Tape {
    fn drop(&mut self) {
        let bytes = self.lock().bytes;
        self.room.give(bytes);
    }
}

impl State {
    fn push(&mut self, item: Item, size: usize) {
        self.items.push_back(item);
        self.bytes += size;
    }

    /// Drops what every reader has passed, and says how many bytes that frees.
    fn drop_passed(&mut self) -> usize {
        let end = self.first + self.items.len();
        let needed = self.readers.values().min().map_or(end, |next| *next);
        let before = self.bytes;
        while self.first < needed
            && let Some(item) = self.items.pop_front()
        {
            self.first += 1;
            self.bytes -= size(&item);
        }
        before - self.bytes
    }

    /// Lets the slowest readers go: their next item is dropped.
    fn cut_slowest(&mut self) {
        let first = self.first;
        self.readers.retain(|_, next| *next > first);
    }

    /// The next item of a reader, if there is one.
    fn next(&mut self, reader: u64) -> Option<Item> {
        let Some(next) = self.readers.get_mut(&reader) else {
            return Some(Item::Failed(too_slow()));
        };
        let item = self.items.get(*next - self.first);
        if let Some(item) = item {
            *next += 1;
            return Some(item.clone());
        }
        self.end.clone()
    }
}

fn too_slow() -> Problem {
    let message = "the answer was read too slowly to be kept for this caller";
    Problem::new(Code::AnswerGone, Verdict::Ran, message)
}

fn size(item: &Item) -> usize {
    let text = match item {
        Item::Event { data, .. } => data.len(),
        Item::Body(bytes) => bytes.len(),
        Item::Head { .. } | Item::Complete | Item::Failed(_) => 0,
    };
    text + OVERHEAD
}

/// One reader of a recorded answer; dropped once its caller is gone.
#[derive(Debug)]
pub struct Reader {
    tape: Arc<Tape>,
    id: u64,
}

impl Reader {
    /// The next item; the last one comes again and again.
    pub async fn recv(&mut self) -> Item {
        loop {
            let changed = self.tape.changed.notified();
            if let Some(item) = self.next() {
                return item;
            }
            changed.await;
        }
    }

    /// The request whose answer is read.
    pub fn request(&self) -> name::Request {
        self.tape.request()
    }

    fn next(&self) -> Option<Item> {
        let mut state = self.tape.lock();
        let item = state.next(self.id);
        let waited_for = item.is_some() && !state.whole;
        drop(state);
        if waited_for {
            self.tape.changed.notify_waiters();
        }
        item
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.tape.lock().readers.remove(&self.id);
        self.tape.changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
