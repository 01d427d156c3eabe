//! Where calls come in: clients and call-backs at the clients' address, operators at the door. Nothing here
//! decides on a job, and nothing here opens a connection.

pub mod clients;
