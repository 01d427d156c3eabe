//! Who works beside this process: other processes of this node, and other nodes. It moves messages; what they mean is decided
//! elsewhere.

pub mod affairs;
pub mod audit;
pub mod fleet;
pub mod handover;
pub mod wires;
