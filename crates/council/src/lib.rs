//! The centre: configuration, hosts and keys, on two disks before it answers
