//! The scheduler of jobs: each rule, each fault that was found, and random
//! sequences of faults.

mod absence;
mod accounts;
mod admission;
mod backlog;
mod behind;
mod cordons;
mod crashing;
mod displacing;
mod faults;
mod fuzz;
mod latest;
mod leaving;
mod lives;
mod looked;
mod outage;
mod reborn;
mod room;
mod rounds;
mod rules;
mod services;
mod shares;
mod size;
mod speeds;
mod urgent;
mod world;
