//! Scheduling of a service that has too little capacity.

mod model;
mod patterns;
mod shares;
