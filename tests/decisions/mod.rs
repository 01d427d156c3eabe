//! A closed-loop simulation of clients and workers around one dispatcher, and recordings of its
//! runs.

pub mod decider;
pub mod random;
pub mod recording;
pub mod scenario;
pub mod simulation;
pub mod text;
pub mod wire;
