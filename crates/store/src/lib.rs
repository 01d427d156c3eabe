//! A small embedded store of records with keys.
