//! The scheduler of jobs: each rule, each fault that was found, and random
//! sequences of faults.

mod absence;
mod accounts;
mod cordons;
mod crashing;
mod displacing;
mod faults;
mod fuzz;
mod lives;
mod reborn;
mod room;
mod rules;
mod services;
mod shares;
mod size;
mod world;
