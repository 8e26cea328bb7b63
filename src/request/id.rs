//! Request ids and sessions that callers cannot forge.
//!
//! A session has the form `<node name>.<incarnation hex>.<number hex>.<tag hex>`, and a request id has the
//! form `<session>-<sequence>`. The tag is a hash with a random key that only the incarnation knows, so only
//! the incarnation that issued a session can verify it. See `docs/decisions/003-at-most-once.md`.

use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

use derive_more::Display;
use siphasher::sip::SipHasher24;
use thiserror::Error;

use crate::time::Moment;
use crate::wire::Incarnation;

/// Maximum length of a request id; it limits the work that a forged header can cause.
pub const MAX_LENGTH_BYTES: usize = 256;

/// Number of hexadecimal digits of a tag, with leading zeros.
const TAG_DIGITS: usize = 16;

/// A session, under which one caller numbers its requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{node}.{incarnation}.{number:x}.{tag:016x}")]
pub struct Session {
    /// The name of the node that issued the session.
    pub node: String,
    /// The incarnation of the node's process that issued the session.
    pub incarnation: Incarnation,
    /// The number of the session; unique within the incarnation and increasing with time.
    pub number: u64,
    /// The keyed hash of the other fields, which proves that the session was issued.
    pub tag: u64,
}

/// The id of one request of a session.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{session}-{sequence}")]
pub struct Request {
    /// The session in which the request was sent.
    pub session: Session,
    /// The sequence number that the caller gave the request.
    pub sequence: u64,
}

/// Why a text is not the id of a request in a session of this incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The text is longer than [`MAX_LENGTH_BYTES`].
    #[error("the request id is longer than {MAX_LENGTH_BYTES} bytes")]
    TooLong,
    /// The named part of the id is missing, or the separator before it.
    #[error("the request id has no {0}; it must read <session>-<sequence>")]
    Missing(&'static str),
    /// The named number has no digits, too many digits, a sign, a leading zero or an upper-case digit.
    #[error("the {0} of the request id is not a number in canonical form")]
    BadNumber(&'static str),
    /// The session was issued by the named node and incarnation, not by this one.
    #[error("the session was issued by {0}, incarnation {1}")]
    Foreign(String, Incarnation),
    /// The tag is not the keyed hash of the session, so no node issued it.
    #[error("the request id was not issued by this system")]
    Forged,
}

impl FromStr for Session {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() > MAX_LENGTH_BYTES {
            return Err(Error::TooLong);
        }
        // Node names may contain any separator, so the parts are split off from the right.
        let (rest, tag) = text.rsplit_once('.').ok_or(Error::Missing("tag"))?;
        let (rest, number) = rest.rsplit_once('.').ok_or(Error::Missing("number"))?;
        let (node, incarnation) = rest.rsplit_once('.').ok_or(Error::Missing("incarnation"))?;
        if node.is_empty() {
            return Err(Error::Missing("node name"));
        }
        if tag.len() != TAG_DIGITS {
            return Err(Error::BadNumber("tag"));
        }
        Ok(Self {
            node: node.to_owned(),
            incarnation: Incarnation(parse_hex(incarnation, "incarnation")?),
            number: parse_hex(number, "number")?,
            tag: parse_digits(tag, 16).ok_or(Error::BadNumber("tag"))?,
        })
    }
}

impl FromStr for Request {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() > MAX_LENGTH_BYTES {
            return Err(Error::TooLong);
        }
        let (session, sequence) = text.rsplit_once('-').ok_or(Error::Missing("sequence"))?;
        let sequence = canonical_number(sequence).and_then(|digits| parse_digits(digits, 10));
        Ok(Self {
            session: session.parse()?,
            sequence: sequence.ok_or(Error::BadNumber("sequence"))?,
        })
    }
}

fn parse_hex(text: &str, part: &'static str) -> Result<u64, Error> {
    let number = canonical_number(text).and_then(|digits| parse_digits(digits, 16));
    number.ok_or(Error::BadNumber(part))
}

/// Returns the number if it has no leading zero. Each id must have exactly one spelling, because targets and
/// logs compare ids as text.
fn canonical_number(text: &str) -> Option<&str> {
    (text == "0" || !text.starts_with('0')).then_some(text)
}

/// Parses digits in lower case; unlike the standard library, it accepts no sign.
fn parse_digits(text: &str, radix: u32) -> Option<u64> {
    let is_plain = |byte: u8| byte.is_ascii_digit() || byte.is_ascii_lowercase();
    if text.bytes().all(is_plain) {
        u64::from_str_radix(text, radix).ok()
    } else {
        None
    }
}

/// Issues and verifies the sessions of one incarnation.
pub struct Issuer {
    node: String,
    incarnation: Incarnation,
    hasher: SipHasher24,
    last_number: u64,
}

impl fmt::Debug for Issuer {
    /// Omits the key, so that no log line can reveal it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut output = f.debug_struct("Issuer");
        output.field("node", &self.node);
        output.field("incarnation", &self.incarnation);
        output.finish_non_exhaustive()
    }
}

impl Issuer {
    /// Creates the issuer of an incarnation; `key` must be random and used by no other incarnation.
    pub fn open(node: impl Into<String>, incarnation: Incarnation, key: u128) -> Self {
        Self {
            node: node.into(),
            incarnation,
            hasher: SipHasher24::new_with_key(&key.to_le_bytes()),
            last_number: 0,
        }
    }

    /// Issues a new session.
    ///
    /// The number of the session is the current time in microseconds, or the next unused number, so that the
    /// at-most-once table can forget old sessions by their age alone.
    pub fn issue(&mut self, now: Moment) -> Session {
        self.last_number = now.as_micros().max(self.last_number.saturating_add(1));
        Session {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number: self.last_number,
            tag: self.tag(self.last_number),
        }
    }

    /// Checks that this incarnation issued the session of a request.
    pub fn verify(&self, request: &Request) -> Result<(), Error> {
        let session = &request.session;
        if session.node != self.node || session.incarnation != self.incarnation {
            return Err(Error::Foreign(session.node.clone(), session.incarnation));
        }
        if session.tag == self.tag(session.number) {
            Ok(())
        } else {
            Err(Error::Forged)
        }
    }

    fn tag(&self, number: u64) -> u64 {
        let mut hasher = self.hasher;
        hasher.write(self.node.as_bytes());
        hasher.write_u64(self.incarnation.0);
        hasher.write_u64(number);
        hasher.finish()
    }
}
