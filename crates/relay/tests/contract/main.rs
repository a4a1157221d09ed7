//! What callers see, and what endpoints get, case by case.

mod answers;
mod caller;
mod cold;
mod crashes;
mod crashing;
mod desk;
mod duties;
mod endpoint;
mod evacuation;
mod forwarding;
mod last_lines;
mod leave;
mod leaving_endpoints;
mod lives;
mod messages;
mod others;
mod own_questions;
mod peer;
mod rate_limits;
mod refusals;
mod rests;
mod rows;
mod silent_tellers;
mod site;
mod stops;
mod streams;
