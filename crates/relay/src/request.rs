//! One request of a caller, from its arrival to the end of its answer.

pub mod account;
pub mod admit;
pub mod answer;
pub mod attempt;
pub mod crash;
pub mod forward;
pub mod place;
pub mod problem;
pub mod run;

pub use account::Account;
pub use admit::Admitted;
pub use answer::Answer;
pub use problem::Problem;
