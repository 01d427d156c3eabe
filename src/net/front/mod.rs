//! Where calls come in: user agents and call-backs at the clients' address, operators at the door. Nothing here
//! decides on a job, and nothing here opens a connection.

pub mod management;
pub mod user_agent;
