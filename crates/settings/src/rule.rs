//! What a single value must be, and how it is read.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use jiff::civil::{Time, Weekday};
use jsonc_parser::ast::Value;
use woodgap_core::clock::Millis;

/// The longest name, in characters: names are parts of table keys and headers.
const NAME_LENGTH: usize = 64;

/// The bytes of a SHA-256 digest and of the fleet key.
const KEY_BYTES: usize = 32;

/// Reads a value, if it is one that the rule accepts.
type Reading<T> = dyn Fn(&Value) -> Option<T>;

/// A value's type and bounds, with the words that tell a person about them.
pub struct Rule<T> {
    /// What is accepted, to follow "expected".
    pub expected: String,
    /// What to do about a wrong value; may be empty.
    pub fix: &'static str,
    /// Whether the value must not be shown.
    pub secret: bool,
    read: Box<Reading<T>>,
}

impl<T> Rule<T> {
    /// A rule that accepts what the function reads.
    pub fn new(expected: impl Into<String>, read: impl Fn(&Value) -> Option<T> + 'static) -> Self {
        Self {
            expected: expected.into(),
            fix: "",
            secret: false,
            read: Box::new(read),
        }
    }

    fn fix(mut self, fix: &'static str) -> Self {
        self.fix = fix;
        self
    }

    fn secret(mut self) -> Self {
        self.secret = true;
        self
    }

    /// The value, if it is one that the rule accepts.
    pub fn read(&self, value: &Value) -> Option<T> {
        (self.read)(value)
    }

    /// How a value is named in a problem.
    pub fn describe(&self, value: &Value) -> String {
        match value {
            Value::StringLit(text) if self.secret => {
                format!("a text of {} characters", text.value.chars().count())
            }
            Value::StringLit(text) if text.value.contains("://") && text.value.contains('@') => {
                "a URL with credentials".to_owned()
            }
            Value::StringLit(text) => shortened(&text.value),
            Value::NumberLit(_) if self.secret => "a number".to_owned(),
            Value::NumberLit(number) => number.value.to_owned(),
            Value::BooleanLit(boolean) => boolean.value.to_string(),
            Value::Object(_) => "an object".to_owned(),
            Value::Array(_) => "a list".to_owned(),
            Value::NullKeyword(_) => "null".to_owned(),
        }
    }
}

/// Quotes a text, cut to a length that fits a line.
fn shortened(text: &str) -> String {
    const MOST: usize = 48;
    if text.chars().count() <= MOST {
        return format!("{text:?}");
    }
    let start: String = text.chars().take(MOST).collect();
    format!("{start:?} and more")
}

fn text_of<'a>(value: &'a Value) -> Option<&'a str> {
    value.as_string_lit().map(|text| text.value.as_ref())
}

fn parsed<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// A name: of an entry, a data centre, a class, an operator.
pub fn name() -> Rule<String> {
    let expected = format!("a name of 1 to {NAME_LENGTH} of A-Z, a-z, 0-9, `.`, `_` and `-`");
    Rule::new(expected, |value| {
        let text = text_of(value)?;
        is_name(text).then(|| text.to_owned())
    })
}

/// Whether a text can be a name, as of an entry, a class or a document.
///
/// ```
/// assert!(woodgap_settings::is_name("dub-a-1"));
/// assert!(!woodgap_settings::is_name("dub a/1"));
/// ```
pub fn is_name(text: &str) -> bool {
    let length = 1..=NAME_LENGTH;
    length.contains(&text.len()) && text.bytes().all(is_name_byte)
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-')
}

/// What a class may use: a model, with adapter or version, or a plain service.
pub fn target() -> Rule<String> {
    let expected =
        format!("a model or service, 1 to {NAME_LENGTH} of A-Z, a-z, 0-9 and `. _ - + @ : /`");
    Rule::new(expected, |value| {
        let text = text_of(value)?;
        let length = 1..=NAME_LENGTH;
        let fits = |byte| is_name_byte(byte) || matches!(byte, b'+' | b'@' | b':' | b'/');
        (length.contains(&text.len()) && text.bytes().all(fits)).then(|| text.to_owned())
    })
}

/// True or false.
pub fn boolean() -> Rule<bool> {
    Rule::new("true or false", |value| {
        value.as_boolean_lit().map(|boolean| boolean.value)
    })
}

/// Any text.
pub fn text() -> Rule<String> {
    Rule::new("a text", |value| text_of(value).map(str::to_owned))
}

/// A whole number within bounds, both included.
pub fn whole<N>(least: N, most: N) -> Rule<N>
where
    N: FromStr + PartialOrd + Display + 'static,
{
    let expected = format!("a whole number from {least} to {most}");
    Rule::new(expected, move |value| {
        let number: N = parsed(value.as_number_lit()?.value)?;
        (least <= number && number <= most).then_some(number)
    })
}

/// A span in milliseconds within bounds, both included.
pub fn millis(least: u64, most: u64) -> Rule<Millis> {
    let number = whole(least, most);
    let expected = format!("{} (milliseconds)", number.expected);
    Rule::new(expected, move |value| number.read(value).map(Millis))
}

/// A share above 0, up to a bound.
pub fn share(most: f64) -> Rule<f64> {
    Rule::new(format!("a number above 0, up to {most}"), move |value| {
        let number: f64 = parsed(value.as_number_lit()?.value)?;
        (0.0 < number && number <= most).then_some(number)
    })
}

/// One of a list of words, each standing for a value.
pub fn choice<T: Copy + 'static>(words: &'static [(&'static str, T)]) -> Rule<T> {
    let list: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
    Rule::new(format!("one of {}", list.join(", ")), move |value| {
        let text = text_of(value)?;
        let found = words.iter().find(|(word, _)| *word == text)?;
        Some(found.1)
    })
}

/// An address to listen on; port 0 has the system choose one.
pub fn listen() -> Rule<SocketAddr> {
    Rule::new("an IP address and port, such as 10.1.0.5:7000", |value| {
        parsed(text_of(value)?)
    })
    .fix("Give the IP number; names are not looked up.")
}

/// An address that others send to: neither port nor IP may be left open.
pub fn address() -> Rule<SocketAddr> {
    let expected = "an IP address and port that others can reach, such as 10.1.0.5:7000";
    Rule::new(expected, |value| {
        let address: SocketAddr = parsed(text_of(value)?)?;
        let open = address.port() == 0 || address.ip().is_unspecified();
        (!open).then_some(address)
    })
    .fix("Give the IP number; names are not looked up.")
}

/// An IP address of this instance.
pub fn ip() -> Rule<IpAddr> {
    Rule::new(
        "an IP address of this instance, such as 10.1.0.5",
        |value| {
            let ip: IpAddr = parsed(text_of(value)?)?;
            let is_one = !ip.is_unspecified() && !ip.is_multicast();
            is_one.then_some(ip)
        },
    )
    .fix("Give the IP number, without a port; names are not looked up.")
}

/// The base URL of a service.
pub fn url() -> Rule<String> {
    let expected = "a URL such as http://10.1.0.2:8080, without query or credentials";
    Rule::new(expected, |value| {
        let text = text_of(value)?;
        let url = url::Url::parse(text).ok()?;
        let plain = url.scheme() == "http" && url.has_host() && url.username().is_empty();
        let bare = url.query().is_none() && url.fragment().is_none() && url.password().is_none();
        (plain && bare).then(|| text.trim_end_matches('/').to_owned())
    })
}

/// The fleet key.
pub fn key() -> Rule<[u8; KEY_BYTES]> {
    Rule::new("64 hexadecimal digits, not all 0", |value| {
        let mut key = [0; KEY_BYTES];
        hex::decode_to_slice(text_of(value)?, &mut key).ok()?;
        (key != [0; KEY_BYTES]).then_some(key)
    })
    .fix("Draw one by `openssl rand -hex 32`, the same for all entries.")
    .secret()
}

/// The SHA-256 of a key, in lower-case hexadecimal.
pub fn digest() -> Rule<String> {
    Rule::new("the SHA-256 of a key as 64 hexadecimal digits", |value| {
        let text = text_of(value)?;
        let bytes = hex::decode(text).ok()?;
        (bytes.len() == KEY_BYTES).then(|| text.to_ascii_lowercase())
    })
    .fix("Get it by `printf %s \"$KEY\" | sha256sum`.")
    // Who errs here has most likely put the key itself.
    .secret()
}

/// A time of day.
pub fn time() -> Rule<Time> {
    Rule::new("a time of day such as \"06:00\"", |value| {
        Time::strptime("%H:%M", text_of(value)?).ok()
    })
}

/// A day of the week.
pub fn weekday() -> Rule<Weekday> {
    choice(&[
        ("mon", Weekday::Monday),
        ("tue", Weekday::Tuesday),
        ("wed", Weekday::Wednesday),
        ("thu", Weekday::Thursday),
        ("fri", Weekday::Friday),
        ("sat", Weekday::Saturday),
        ("sun", Weekday::Sunday),
    ])
}

/// A time zone by its IANA name.
pub fn time_zone() -> Rule<String> {
    Rule::new("an IANA time zone such as \"Europe/Madrid\"", |value| {
        let text = text_of(value)?;
        jiff::tz::TimeZone::get(text).ok()?;
        Some(text.to_owned())
    })
}
