//! What the node goes to: workers, discovery, the store. It carries out what the hub wants and tells what came of it;
//! nothing here decides which worker gets a job.

pub mod backoff;
pub mod keeper;
pub mod proxy_pass;
pub mod watch;
pub mod worker_list;
