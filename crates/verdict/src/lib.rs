//! Whether a request may have run
