//! The token that identifies a client's session, signed with HMAC-SHA256.
use crate::ids::Ms;
use crate::record::SessionId;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use std::fmt;
use thiserror::Error;

/// The content of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionToken {
    /// The session.
    pub id: SessionId,
    /// The number of the peer set under which the session was created.
    pub peer_set: u16,
    /// When the session was created (Unix time in milliseconds).
    pub created_at: Ms,
    /// When the token was last signed (Unix time in milliseconds). Its lifetime counts from this time.
    pub signed_at: Ms,
}

/// Why a token is rejected. The client gets a new session. The error doesn't contain the token, so that the token
/// appears neither in the response nor in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// The text has the wrong length for a token, or is not Base64.
    Malformed,
    /// The token is not signed by one of the current keys.
    InvalidSignature,
    /// The token's lifetime has ended.
    Expired,
    /// The token's creation or signing time is too far ahead of this node's clock.
    FromFuture,
}

impl TokenError {
    /// The error message, for the client and the log.
    pub fn message(self) -> &'static str {
        match self {
            TokenError::Malformed => "the session's token is cut or no token",
            TokenError::InvalidSignature => "the session's token is not signed by a key in force",
            TokenError::Expired => "the session's token has expired",
            TokenError::FromFuture => "the session's token is from a time to come",
        }
    }
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.message())
    }
}

impl std::error::Error for TokenError {}

/// The current signing keys: the first one signs, and signatures by any of them are accepted.
#[derive(Clone, Default)]
pub struct SigningKeys(Vec<Vec<u8>>);

/// Why signing keys are rejected. The message names what was expected, as a phrase that the caller completes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SigningKeysError {
    /// The list of keys is empty.
    #[error("a key at least")]
    NoKeys,
    /// A key is shorter than [`MIN_KEY_BYTES`].
    #[error("keys of {MIN_KEY_BYTES} bytes or more")]
    TooShort {
        /// The position of the first such key, from 0.
        index: usize,
        /// Its length in bytes.
        found: usize,
    },
}

/// Minimum length of a key: the length of its signatures (RFC 2104, section 3).
pub const MIN_KEY_BYTES: usize = 32;
/// Session id, peer set number, creation time and signing time; all big-endian.
const BODY_BYTES: usize = 16 + 2 + 8 + 8;
const SIGNATURE_BYTES: usize = 32;

impl SigningKeys {
    /// Fails if the list is empty or a key is too short.
    pub fn new(keys: Vec<Vec<u8>>) -> Result<SigningKeys, SigningKeysError> {
        if keys.is_empty() {
            return Err(SigningKeysError::NoKeys);
        }
        let short = |(_, key): &(usize, &Vec<u8>)| key.len() < MIN_KEY_BYTES;
        match keys.iter().enumerate().find(short) {
            Some((index, key)) => Err(SigningKeysError::TooShort { index, found: key.len() }),
            None => Ok(SigningKeys(keys)),
        }
    }

    fn mac(key: &[u8], body: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts any length");
        mac.update(body);
        mac
    }

    /// The token as text, in URL-safe Base64.
    ///
    /// ```
    /// use coppersail_session_affinity::token::{SessionToken, SigningKeys, TokenError};
    /// let keys = SigningKeys::new(vec![vec![1; 32]]).unwrap();
    /// let id = coppersail_session_affinity::SessionId([1, 2]);
    /// let token = SessionToken { id, peer_set: 1, created_at: 5_000, signed_at: 5_000 };
    /// let text = keys.sign(&token);
    /// assert_eq!(keys.read(&text, 6_000, 60_000, 100), Ok((token, true)));
    /// assert_eq!(keys.read(&text[1..], 6_000, 60_000, 100), Err(TokenError::Malformed));
    /// assert_eq!(keys.read(&text, 66_000, 60_000, 100), Err(TokenError::Expired));
    /// ```
    pub fn sign(&self, token: &SessionToken) -> String {
        let mut bytes = Vec::with_capacity(BODY_BYTES + SIGNATURE_BYTES);
        bytes.extend(token.id.0.iter().flat_map(|half| half.to_be_bytes()));
        bytes.extend(token.peer_set.to_be_bytes());
        bytes.extend(token.created_at.to_be_bytes());
        bytes.extend(token.signed_at.to_be_bytes());
        let signing_key = self.0.first().map_or(&[][..], |key| &key[..]);
        let signature = Self::mac(signing_key, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&signature);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// The token, and whether the first key signed it; if another key did, the token should be signed again.
    /// `lifetime` is a token's lifetime and `max_skew` how far ahead of `now` its times may be, both in milliseconds.
    pub fn read(
        &self,
        text: &str,
        now: Ms,
        lifetime: Ms,
        max_skew: Ms,
    ) -> Result<(SessionToken, bool), TokenError> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
        if bytes.len() != BODY_BYTES + SIGNATURE_BYTES {
            return Err(TokenError::Malformed);
        }
        let (body, signature) = bytes.split_at(BODY_BYTES);
        let signed_by = |key: &Vec<u8>| Self::mac(key, body).verify_slice(signature).is_ok();
        let key_index = self.0.iter().position(signed_by).ok_or(TokenError::InvalidSignature)?;
        let u64_at = |at: usize| u64::from_be_bytes(body[at..at + 8].try_into().expect("8 bytes"));
        let token = SessionToken {
            id: SessionId([u64_at(0), u64_at(8)]),
            peer_set: u16::from_be_bytes([body[16], body[17]]),
            created_at: u64_at(18),
            signed_at: u64_at(26),
        };
        if token.created_at.max(token.signed_at) > now + max_skew {
            return Err(TokenError::FromFuture);
        }
        if token.signed_at + lifetime <= now {
            return Err(TokenError::Expired);
        }
        Ok((token, key_index == 0))
    }
}

/// A hash that distinguishes requests: the first 8 bytes of the SHA-256 of the parts, each preceded by its length.
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    u64::from_be_bytes(hash.finalize()[..8].try_into().expect("8 bytes"))
}
