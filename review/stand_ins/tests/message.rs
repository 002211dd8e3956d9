//! HTTP/1.1 messages over blocking sockets, as clients, servers and the store exchange them.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// Head and body of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub body: Vec<u8>,
    pub first: String,
    pub headers: BTreeMap<String, String>,
}

impl Message {
    /// Reads a message; `None` if the connection ends before its first byte.
    pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                let empty = message.first.is_empty();
                return if empty { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
            let text = line.trim_end();
            if text.is_empty() {
                if message.first.is_empty() {
                    continue;
                }
                break;
            }
            if message.first.is_empty() {
                message.first = text.to_owned();
            } else if let Some((name, value)) = text.split_once(':') {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        if message.header("transfer-encoding") == "chunked" {
            message.read_chunks(stream)?;
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = vec![0; length];
            stream.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self, stream: &mut BufReader<TcpStream>) -> io::Result<()> {
        loop {
            let mut line = String::new();
            stream.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
            let start = self.body.len();
            self.body.resize(start + length + 2, 0);
            stream.read_exact(&mut self.body[start..])?;
            self.body.truncate(start + length);
            if length == 0 {
                return Ok(());
            }
        }
    }

    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Writes a message with a length. The headers end with a line break each.
pub fn write_message(
    mut stream: &TcpStream,
    first: &str,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let length = body.len();
    let text = format!("{first}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Returns the raw value of a key at the top level of a JSON object.
pub fn json_value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    let (mut begin, mut name, mut value): (usize, Option<&str>, Option<usize>) = (0, None, None);
    for (at, c) in text.char_indices() {
        if quoted {
            match c {
                _ if escaped => escaped = false,
                '\\' => escaped = true,
                '"' => {
                    quoted = false;
                    if depth == 1 && value.is_none() {
                        name = Some(&text[begin..at]);
                    }
                }
                _ => {}
            }
            continue;
        }
        match c {
            '"' => (quoted, begin) = (true, at + 1),
            ':' if depth == 1 && value.is_none() => value = Some(at + 1),
            '{' | '[' => depth += 1,
            ',' | '}' | ']' => {
                if depth == 1 {
                    if let (Some(from), true) = (value, name == Some(key)) {
                        return Some(text[from..at].trim());
                    }
                    (name, value) = (None, None);
                }
                if c != ',' {
                    depth -= 1;
                }
            }
            _ => {}
        }
    }
    None
}
