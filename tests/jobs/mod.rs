//! Tests of the job scheduler: its rules, faults that were found, and random
//! sequences of faults.

mod account_shares;
mod accounts;
mod admission;
mod backlog;
mod capacity;
mod cell_size;
mod cordons;
mod crash_suspects;
mod departures;
mod event_lag;
mod faults;
mod fuzz;
mod incarnations;
mod indirect_evidence;
mod membership;
mod placement_rounds;
mod placement_stats;
mod preemption;
mod ranking;
mod renewals;
mod rules;
mod services;
mod speeds;
mod store_outage;
mod urgent_tasks;
mod world;
