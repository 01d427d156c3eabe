//! Who works beside this process: other processes of this node. It moves messages; what they mean is decided
//! elsewhere.

pub mod handover;
