//! The edge: takes requests of clients and passes them to hosts
