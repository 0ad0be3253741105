//! The program as its surroundings see it: the binary is started and spoken to over sockets.

mod changes;
mod serve;
mod stand_ins;
