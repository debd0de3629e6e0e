//! HTTP/1.1 over blocking sockets, and JSON: just what the stand-ins need.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message: its first line, its fields (names in lower case) and its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|it| it.0 == name);
        found.map(|it| it.1.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.trim().parse().ok()
    }

    /// The second word of the first line: a status or a path.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

/// Reads messages from one connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0_u8; 16 * 1024];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads one whole message. An answer without a length ends with its connection.
    pub fn message(&mut self, answer: bool) -> io::Result<Message> {
        let mut message = Message {
            first: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            let pair = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.fields.push(pair);
        }
        if message.field("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            loop {
                let size = self.line()?;
                let size = size.split(';').next().unwrap_or("").trim().to_owned();
                let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(message);
                }
                let part = self.bytes(size)?;
                message.body.extend(part);
                self.bytes(2)?;
            }
        }
        match message.number("content-length") {
            Some(it) => message.body = self.bytes(it as usize)?,
            None if answer && message.status() >= 200 && message.status() != 204 => {
                while self.fill().is_ok() {}
                message.body = std::mem::take(&mut self.buffer);
            }
            None => {}
        }
        Ok(message)
    }
}

/// Sends one request on a new connection and reads its answer.
pub fn ask(to: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    let left = limit.saturating_sub(started.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    Reader::new(stream).message(true)
}

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(it) => it.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(it) => it,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(it) => *it as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(it) => it,
            _ => &[],
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = value(bytes, at)? else {
                            return None;
                        };
                        skip(bytes, at);
                        *at += 1;
                        map.insert(key, value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return String::from_utf8(text).ok().map(Json::Text);
                    }
                    b'\\' => {
                        let next = *bytes.get(*at + 1)?;
                        *at += 2;
                        match next {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'u' => {
                                let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(code, 16).ok()?;
                                let mut buffer = [0; 4];
                                let it = char::from_u32(code)?.encode_utf8(&mut buffer);
                                text.extend(it.as_bytes());
                                *at += 4;
                            }
                            it => text.push(it),
                        }
                    }
                    it => {
                        text.push(it);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|it| !b",]} \n\t\r".contains(it)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                "null" => Some(Json::Null),
                it => it.parse().ok().map(Json::Number),
            }
        }
    }
}

/// Base64 of `bytes`.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().fold(0_u32, |sum, it| sum << 8 | u32::from(*it));
        let number = number << (8 * (3 - part.len()));
        for place in 0..4 {
            match place <= part.len() {
                true => text.push(LETTERS[(number >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// The value of a parameter of a path's query, with `%XX` decoded.
pub fn parameter(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    let (_, value) = pairs.filter(|it| it.0 == name).next()?;
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| value.get(at + 1..at + 3)).flatten();
        match code.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(it) => {
                decoded.push(it);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8(decoded).ok()
}
