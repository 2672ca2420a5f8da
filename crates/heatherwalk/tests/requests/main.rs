//! The path of requests through a whole mesh in one process: faults at each step, nested calls, and
//! messages that must arrive unchanged.

mod callers;
mod calls;
mod controls;
mod crashes;
mod downloads;
mod explaining;
mod faults;
mod hedges;
mod identity;
mod leaving;
mod linking;
mod mesh;
mod notices;
mod odd_statuses;
mod passing;
mod quotas;
mod ranks;
mod refusals;
mod relay;
mod returning;
mod rollouts;
mod servers;
mod silence;
mod stand_in_controls;
mod stand_ins;
mod teams;
mod unfinished;
mod uploads;
mod versions;
