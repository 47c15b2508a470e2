//! Reads JSON.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn read(bytes: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut reader = Reader {
            chars: text.chars().collect(),
            at: 0,
        };
        reader.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Json::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn peek(&mut self) -> Option<char> {
        while self.chars.get(self.at)?.is_whitespace() {
            self.at += 1;
        }
        self.chars.get(self.at).copied()
    }

    fn take(&mut self, expected: char) -> Option<()> {
        (self.peek()? == expected).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        for expected in word.chars() {
            (*self.chars.get(self.at)? == expected).then(|| self.at += 1)?;
        }
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            'n' => self.word("null", Json::Null),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            '"' => self.text().map(Json::Text),
            '[' => {
                self.at += 1;
                let mut list = Vec::new();
                while self.peek()? != ']' {
                    list.push(self.value()?);
                    if self.peek()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(list))
            }
            '{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek()? != '}' {
                    self.peek()?;
                    let key = self.text()?;
                    self.take(':')?;
                    fields.push((key, self.value()?));
                    if self.peek()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Table(fields))
            }
            _ => {
                let start = self.at;
                while self
                    .chars
                    .get(self.at)
                    .is_some_and(|c| "+-.eE0123456789".contains(*c))
                {
                    self.at += 1;
                }
                let text: String = self.chars[start..self.at].iter().collect();
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let hex: String =
                                self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            let code = u32::from_str_radix(&hex, 16).ok()?;
                            text.push(char::from_u32(code).unwrap_or('?'));
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}
