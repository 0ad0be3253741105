//! Which host holds which keys, until when; pure
