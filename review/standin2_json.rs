//! A small reader of JSON, enough for the bodies that workers and operators exchange.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn read(bytes: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(bytes).ok()?;
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = value(&chars, &mut at)?;
        skip(&chars, &mut at);
        (at == chars.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Json::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn eat(chars: &[char], at: &mut usize, wanted: char) -> Option<()> {
    skip(chars, at);
    (*chars.get(*at)? == wanted).then(|| *at += 1)
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match *chars.get(*at)? {
        '{' => object(chars, at),
        '[' => list(chars, at),
        '"' => text(chars, at).map(Json::Text),
        _ => literal(chars, at),
    }
}

fn object(chars: &[char], at: &mut usize) -> Option<Json> {
    eat(chars, at, '{')?;
    let mut fields = Vec::new();
    skip(chars, at);
    if *chars.get(*at)? == '}' {
        *at += 1;
        return Some(Json::Object(fields));
    }
    loop {
        skip(chars, at);
        let name = text(chars, at)?;
        eat(chars, at, ':')?;
        fields.push((name, value(chars, at)?));
        skip(chars, at);
        match *chars.get(*at)? {
            ',' => *at += 1,
            '}' => {
                *at += 1;
                return Some(Json::Object(fields));
            }
            _ => return None,
        }
    }
}

fn list(chars: &[char], at: &mut usize) -> Option<Json> {
    eat(chars, at, '[')?;
    let mut items = Vec::new();
    skip(chars, at);
    if *chars.get(*at)? == ']' {
        *at += 1;
        return Some(Json::List(items));
    }
    loop {
        items.push(value(chars, at)?);
        skip(chars, at);
        match *chars.get(*at)? {
            ',' => *at += 1,
            ']' => {
                *at += 1;
                return Some(Json::List(items));
            }
            _ => return None,
        }
    }
}

fn text(chars: &[char], at: &mut usize) -> Option<String> {
    eat(chars, at, '"')?;
    let mut out = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(out),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'b' => out.push('\u{8}'),
                    'f' => out.push('\u{c}'),
                    'u' => {
                        let code: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        out.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                    }
                    other => out.push(other),
                }
            }
            c => out.push(c),
        }
    }
}

fn literal(chars: &[char], at: &mut usize) -> Option<Json> {
    let start = *at;
    while chars
        .get(*at)
        .is_some_and(|c| c.is_ascii_alphanumeric() || "+-.".contains(*c))
    {
        *at += 1;
    }
    let word: String = chars[start..*at].iter().collect();
    match word.as_str() {
        "null" => Some(Json::Null),
        "true" => Some(Json::Bool(true)),
        "false" => Some(Json::Bool(false)),
        word => word.parse().ok().map(Json::Number),
    }
}
