//! The life of one request, from its arrival to its end.

pub mod account;
pub mod call;
pub mod ending;
pub mod life;
pub mod model;
pub mod progress;
pub mod retry;
pub mod run;
pub mod service;
pub mod sink;

pub use call::Call;
pub use ending::{Code, Ending, Problem};
pub use life::{Declined, Granted, Head, Received, Request};
pub use progress::Progress;
pub use retry::Attempt;
pub use sink::{Item, Sink};
