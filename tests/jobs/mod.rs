//! The scheduler of jobs: each rule, each fault that was found, and random
//! sequences of faults.

mod accounts;
mod displacing;
mod faults;
mod fuzz;
mod lives;
mod lives_beyond;
mod rules;
mod services;
mod world;
