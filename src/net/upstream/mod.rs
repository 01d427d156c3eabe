//! What the node goes to: workers, discovery, the store. It carries out what the hub wants and tells what came of it;
//! nothing here decides which worker gets a job.

pub mod attempts;
pub mod backoff;
pub mod exchange;
pub mod pool;
pub mod watch;
pub mod worker_list;
