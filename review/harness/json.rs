//! A small JSON reader and writer. Numbers keep their text.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }
}

pub fn map(fields: &[(&str, Json)]) -> Json {
    Json::Map(
        fields
            .iter()
            .map(|(k, v)| ((*k).to_owned(), v.clone()))
            .collect(),
    )
}

pub fn num(n: u64) -> Json {
    Json::Num(n.to_string())
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Num(text) => f.write_str(text),
            Json::Str(text) => write_str(f, text),
            Json::List(items) => {
                f.write_str("[")?;
                for (i, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if i > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Map(fields) => {
                f.write_str("{")?;
                for (i, (key, value)) in fields.iter().enumerate() {
                    f.write_str(if i > 0 { "," } else { "" })?;
                    write_str(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_str(f: &mut fmt::Formatter, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

pub fn parse(text: &str) -> Option<Json> {
    let chars: Vec<char> = text.chars().collect();
    let mut at = 0;
    let value = value(&chars, &mut at)?;
    skip(&chars, &mut at);
    (at == chars.len()).then_some(value)
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn take(chars: &[char], at: &mut usize, c: char) -> Option<()> {
    skip(chars, at);
    (chars.get(*at) == Some(&c)).then(|| *at += 1)
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match chars.get(*at)? {
        '"' => string(chars, at).map(Json::Str),
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            if take(chars, at, ']').is_some() {
                return Some(Json::List(items));
            }
            loop {
                items.push(value(chars, at)?);
                if take(chars, at, ']').is_some() {
                    return Some(Json::List(items));
                }
                take(chars, at, ',')?;
            }
        }
        '{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            if take(chars, at, '}').is_some() {
                return Some(Json::Map(fields));
            }
            loop {
                skip(chars, at);
                let key = string(chars, at)?;
                take(chars, at, ':')?;
                fields.insert(key, value(chars, at)?);
                if take(chars, at, '}').is_some() {
                    return Some(Json::Map(fields));
                }
                take(chars, at, ',')?;
            }
        }
        _ => {
            let start = *at;
            while chars.get(*at).is_some_and(|c| !",]} \n\r\t".contains(*c)) {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                _ => word.parse::<f64>().ok().map(|_| Json::Num(word)),
            }
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    take(chars, at, '"')?;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                text.push(match escaped {
                    'n' => '\n',
                    't' => '\t',
                    'r' => '\r',
                    'b' => '\u{8}',
                    'f' => '\u{c}',
                    'u' => {
                        let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        char::from_u32(u32::from_str_radix(&hex, 16).ok()?).unwrap_or('?')
                    }
                    other => other,
                });
            }
            c => text.push(c),
        }
    }
}
