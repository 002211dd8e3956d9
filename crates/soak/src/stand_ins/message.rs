//! Minimal HTTP/1.1 messages. Callers need pipelining and targets need faulty responses, which an
//! HTTP library offers to neither.

use std::{collections::BTreeMap, io};
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Head of a request or response.
#[derive(Clone, Debug, Default)]
pub(crate) struct MessageHead {
    /// Request line or status line.
    pub(crate) first_line: String,
    /// Header values by lower-case name.
    headers: BTreeMap<String, String>,
}

impl MessageHead {
    /// Reads a head; returns `None` if the stream ends before its first byte.
    pub(crate) async fn read(stream: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 0 {
            let text = line.trim_end();
            if text.is_empty() {
                return Ok(Some(head));
            }
            if head.is_empty() {
                head.first_line = text.to_owned();
            } else if let Some((name, value)) = text.split_once(':') {
                head.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            line.clear();
        }
        if head.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
    }

    fn is_empty(&self) -> bool {
        self.first_line.is_empty()
    }

    /// Returns a header, or an empty string if it is missing.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status code of a response.
    pub(crate) fn status(&self) -> Option<u16> {
        self.first_line.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
    }

    /// Reads the body that follows the head. A message without a length has none.
    pub(crate) async fn read_body(
        &self,
        stream: &mut (impl AsyncBufRead + Unpin),
    ) -> io::Result<Vec<u8>> {
        if self.header("transfer-encoding") == "chunked" {
            return read_chunks(stream).await;
        }
        let length = self.header("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await?;
        Ok(body)
    }
}

async fn read_chunks(stream: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let length = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
        let start = body.len();
        body.resize(start + length + "\r\n".len(), 0);
        stream.read_exact(&mut body[start..]).await?;
        body.truncate(start + length);
        if length == 0 {
            return Ok(body);
        }
    }
}
