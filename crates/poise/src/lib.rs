//! The paper's mechanism: scores of slices, gaps, moves from fullest to emptiest; pure
