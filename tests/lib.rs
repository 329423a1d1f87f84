//! Integration tests, one module per topic.

mod backlog;
mod call_slots;
mod cell;
mod connections;
mod crash_rate;
#[allow(dead_code, reason = "another test binary uses the rest")]
mod daemons;
mod explain;
mod failures;
mod fair;
mod fuzz;
mod gone;
mod health;
mod http;
mod input;
mod jobs;
mod losses;
mod model;
mod order;
mod order_queue;
mod patience;
mod processes;
mod regression;
mod search;
mod turn;
