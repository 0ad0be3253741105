//! Session tokens in the headers and cookies of requests and responses.
use super::clock::millis;
use coppersail_config::SessionSettings;
use coppersail_session_affinity::token::{SessionToken, SigningKeys, TokenError};
use coppersail_session_affinity::{Ms, RequestId, SessionId};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, COOKIE, SET_COOKIE};
use hyper::Response;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

/// A token whose signature and age are valid.
pub(super) struct ValidToken {
    pub(super) token: SessionToken,
    /// Whether it was signed with the first of the keys. If another key was used, the token is signed again.
    pub(super) signed_by_first_key: bool,
}

/// Finds, verifies, signs and issues tokens.
pub(super) struct SessionTokens {
    keys: SigningKeys,
    /// Name of the header that carries the token; if it is not set, the cookie carries the token.
    header: Option<String>,
    cookie: Option<String>,
    /// How long (ms) a token is accepted after it was signed.
    lifetime: Ms,
    /// Maximum difference (ms) between the clocks of edges.
    clock_skew: Ms,
    /// Source of unpredictable ids: a hasher whose keys are drawn at random at startup.
    random: RandomState,
}

impl SessionTokens {
    pub(super) fn new(settings: &SessionSettings, keys: SigningKeys) -> SessionTokens {
        SessionTokens {
            keys,
            header: settings.header.clone(),
            cookie: settings.cookie.clone(),
            lifetime: millis(settings.token_lifetime),
            clock_skew: millis(settings.max_clock_skew),
            random: RandomState::new(),
        }
    }

    /// Finds the text of a request's token without verifying it.
    pub(super) fn find<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        if let Some(name) = &self.header {
            return headers.get(name.as_str())?.to_str().ok();
        }
        let name = self.cookie.as_deref()?;
        let lines = headers.get_all(COOKIE).iter().filter_map(|line| line.to_str().ok());
        let mut cookies =
            lines.flat_map(|line| line.split(';')).filter_map(|cookie| cookie.trim().split_once('='));
        cookies.find(|(key, _)| *key == name).map(|(_, token)| token)
    }

    pub(super) fn verify(&self, text: &str, now: Ms) -> Result<ValidToken, TokenError> {
        let (token, signed_by_first_key) = self.keys.read(text, now, self.lifetime, self.clock_skew)?;
        Ok(ValidToken { token, signed_by_first_key })
    }

    /// Whether a token must be signed again, which is the case after half of its lifetime or after a change
    /// of keys.
    pub(super) fn needs_renewal(&self, valid: &ValidToken, now: Ms) -> bool {
        !valid.signed_by_first_key || now >= valid.token.signed_at + self.lifetime / 2
    }

    /// Signs a token and adds it to a response.
    pub(super) fn attach<B>(&self, response: &mut Response<B>, token: &SessionToken) {
        let text = self.keys.sign(token);
        let (name, text) = match (&self.header, &self.cookie) {
            (Some(name), _) => (HeaderName::from_bytes(name.as_bytes()).ok(), text),
            (_, cookie) => {
                let name = cookie.as_deref().unwrap_or_default();
                (Some(SET_COOKIE), format!("{name}={text}; Path=/; HttpOnly; SameSite=Lax"))
            }
        };
        if let (Some(name), Ok(text)) = (name, HeaderValue::from_str(&text)) {
            response.headers_mut().append(name, text);
        }
    }

    /// Issues a token for a new session. The request id, unique in this process, makes the session ids of one
    /// millisecond distinct.
    pub(super) fn issue(&self, now: Ms, request: RequestId, peer_set: u16) -> SessionToken {
        let half = |which: u8| self.random.hash_one((which, now, request));
        SessionToken { id: SessionId([half(0), half(1)]), peer_set, created_at: now, signed_at: now }
    }
}

#[cfg(test)]
#[path = "tokens_tests.rs"]
mod tests;
