//! The integration tests, one module for each topic.

mod cell;
mod fuzz;
