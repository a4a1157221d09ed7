//! Configuration: templates with parameters, the values of each workspace, and
//! what they resolve to.

pub mod catalog;
pub mod document;
pub mod resolve;

pub use catalog::Catalog;
pub use document::{Document, Parameter, Template, Values};
pub use resolve::{Problem, resolve};
