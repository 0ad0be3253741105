//! The token that a client carries: which session it is, signed.
use crate::{Ms, SessionId};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionToken {
    pub id: SessionId,
    /// The list of sites that the session was born under.
    pub roster: u16,
    pub born: Ms,
    /// When it was signed last; its life counts from here.
    pub signed: Ms,
}

/// Why a token is not taken. The client gets a new session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// Not as long as a token, or not written as one.
    Cut,
    /// No key of ours signed it, or one that is no longer valid.
    Forged,
    Expired,
    /// Its time lies ahead.
    Early,
}

impl TokenError {
    /// For the client and the log: the token itself is shown to neither.
    pub fn why(self) -> &'static str {
        match self {
            TokenError::Cut => "the session's token is cut or no token",
            TokenError::Forged => "the session's token is not signed by a key in force",
            TokenError::Expired => "the session's token has expired",
            TokenError::Early => "the session's token is from a time to come",
        }
    }
}

/// The keys in force: the first one signs, all of them are taken.
#[derive(Clone, Default)]
pub struct SigningKeys(Vec<Vec<u8>>);

/// A key is at least as long as what it makes.
pub const MIN_KEY_BYTES: usize = 32;
const BODY: usize = 16 + 2 + 8 + 8;
const MARK: usize = 32;

impl SigningKeys {
    /// Fails on a list without keys and on a key that is too short.
    pub fn new(keys: Vec<Vec<u8>>) -> Result<SigningKeys, &'static str> {
        if keys.is_empty() {
            return Err("a key at least");
        }
        match keys.iter().any(|key| key.len() < MIN_KEY_BYTES) {
            true => Err("keys of 32 bytes or more"),
            false => Ok(SigningKeys(keys)),
        }
    }

    fn mac(key: &[u8], body: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length is taken");
        mac.update(body);
        mac
    }

    /// ```
    /// use coppersail_session_affinity::token::{Keys, Token, Unfit};
    /// let keys = Keys::new(vec![vec![1; 32]]).unwrap();
    /// let token = Token { id: coppersail_session_affinity::Id([1, 2]), roster: 1, born: 5_000, signed: 5_000 };
    /// let text = keys.sign(&token);
    /// assert_eq!(keys.read(&text, 6_000, 60_000, 100), Ok((token, true)));
    /// assert_eq!(keys.read(&text[1..], 6_000, 60_000, 100), Err(Unfit::Cut));
    /// assert_eq!(keys.read(&text, 66_000, 60_000, 100), Err(Unfit::Expired));
    /// ```
    pub fn sign(&self, token: &SessionToken) -> String {
        let mut bytes = Vec::with_capacity(BODY + MARK);
        bytes.extend(token.id.0.iter().flat_map(|half| half.to_be_bytes()));
        bytes.extend(token.roster.to_be_bytes());
        bytes.extend(token.born.to_be_bytes());
        bytes.extend(token.signed.to_be_bytes());
        let mark = Self::mac(self.0.first().map_or(&[], |key| &key[..]), &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mark);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// The token, and whether the first key signed it: one of another key is signed anew.
    pub fn read(&self, text: &str, now: Ms, life: Ms, skew: Ms) -> Result<(SessionToken, bool), TokenError> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Cut)?;
        if bytes.len() != BODY + MARK {
            return Err(TokenError::Cut);
        }
        let (body, mark) = bytes.split_at(BODY);
        let by = self.0.iter().position(|key| Self::mac(key, body).verify_slice(mark).is_ok());
        let by = by.ok_or(TokenError::Forged)?;
        let word = |at: usize| u64::from_be_bytes(body[at..at + 8].try_into().expect("eight"));
        let token = SessionToken {
            id: SessionId([word(0), word(8)]),
            roster: u16::from_be_bytes([body[16], body[17]]),
            born: word(18),
            signed: word(26),
        };
        if token.born.max(token.signed) > now + skew {
            return Err(TokenError::Early);
        }
        if token.signed + life <= now {
            return Err(TokenError::Expired);
        }
        Ok((token, by == 0))
    }
}

/// What tells two requests apart: a print of their parts.
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    u64::from_be_bytes(hash.finalize()[..8].try_into().expect("eight"))
}
