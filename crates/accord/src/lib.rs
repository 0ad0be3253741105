//! Epochs and seats: who may act, shown without I/O
