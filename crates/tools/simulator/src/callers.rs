//! What callers of `admin` have in common: whom they ask, and what they do when it fails.
use crate::machine::Body;
use crate::{Us, World};
use coppersail_control_plane::node::AdminRequest;

/// What is sent; it goes out again on 307.
#[derive(Debug, Clone)]
pub enum Act {
    Pulse { ident: Body, body: Body },
    SignOff { ident: Body },
    Replace(Body),
    Read,
}

impl Act {
    pub fn call(&self) -> AdminRequest {
        match self {
            Act::Pulse { ident, body } => {
                AdminRequest::Heartbeat { endpoint_id: ident.to_string(), body: body.to_string() }
            }
            Act::SignOff { ident } => AdminRequest::SignOff { endpoint_id: ident.to_string() },
            Act::Replace(body) => AdminRequest::ReplaceConfig { body: body.to_string() },
            Act::Read => AdminRequest::ReadConfig,
        }
    }
}

/// 307 is followed twice.
pub const HOPS: u8 = 2;
/// A second of silence ends a call.
pub const PATIENCE: Us = 1_000_000;

/// Which machine is asked next.
#[derive(Debug, Clone, Default)]
pub struct Seek {
    /// An answer's `reportTo`, until a call there fails.
    pub told: Option<String>,
    pub at: usize,
    pub failures: u32,
}

impl Seek {
    pub fn good(&mut self, told: Option<String>) {
        self.failures = 0;
        self.told = told.filter(|t| !t.is_empty()).or(self.told.take());
    }

    /// How long to wait before the next call.
    pub fn bad(&mut self) -> Us {
        self.failures += 1;
        if self.told.take().is_none() {
            self.at = self.at.wrapping_add(1);
        }
        (50_000u64 << (self.failures - 1).min(5)).min(1_000_000)
    }
}

impl World<'_> {
    /// The machine that a caller asks now, from the platform's list.
    pub(crate) fn sought(&self, seek: &Seek) -> Option<usize> {
        if let Some(m) = seek.told.as_deref().and_then(|address| self.machine_at(address)) {
            return Some(m);
        }
        let list = self.listed();
        (!list.is_empty()).then(|| list[seek.at % list.len()])
    }

    /// The machine of a `Location`.
    pub(crate) fn location(&self, text: &str) -> Option<usize> {
        let rest = text.strip_prefix("http://")?;
        self.machine_at(rest.split('/').next().unwrap_or(rest))
    }
}
