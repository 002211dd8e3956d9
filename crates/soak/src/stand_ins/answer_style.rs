//! Ways in which a target writes a response, sound and faulty ones.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{io, time::Duration};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::TcpStream,
    time::sleep,
};

/// Pause in the middle of a body that arrives in parts.
const PART_PAUSE: Duration = Duration::from_millis(20);
/// Pause that lasts past the deadline of each request.
const STALL: Duration = Duration::from_secs(5);

/// How a target writes the response of a request that it has executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerStyle {
    /// Whole, in chunks.
    Chunked,
    /// Chunks that break off.
    CutChunks,
    /// A head that breaks off.
    CutHead,
    /// A body with a length that breaks off.
    CutLength,
    /// Nothing until the deadline of each request has passed.
    Late,
    /// Whole, with a length.
    Length,
    /// A body that ends with a reset of its connection.
    Reset,
    /// Chunks that stall past the deadline.
    StalledChunks,
    /// A body with a length that stalls past the deadline.
    StalledLength,
    /// Whole, and ends with its connection.
    Unframed,
}

impl AnswerStyle {
    const FAULTY: [Self; 6] = [
        Self::CutChunks,
        Self::CutHead,
        Self::CutLength,
        Self::Reset,
        Self::StalledChunks,
        Self::StalledLength,
    ];

    /// Draws a style. If faults are allowed, one in 20 is faulty, and one in 40 is late.
    pub(crate) fn draw(rng: &mut SmallRng, faults: bool) -> Self {
        match rng.random_range(0..40) {
            0 | 1 if faults => Self::FAULTY[rng.random_range(0..Self::FAULTY.len())],
            0..10 => Self::Chunked,
            10..14 => Self::Unframed,
            14 if faults => Self::Late,
            _ => Self::Length,
        }
    }

    /// Whether the response arrives whole and in time.
    pub(crate) fn is_sound(self) -> bool {
        matches!(self, Self::Chunked | Self::Length | Self::Unframed)
    }

    /// Whether a whole head arrives before the deadline.
    pub(crate) fn sends_head(self) -> bool {
        !matches!(self, Self::CutHead | Self::Late)
    }

    /// Writes a response. Returns whether the connection stays open.
    pub(crate) async fn write(
        self,
        stream: &mut BufReader<TcpStream>,
        head: &str,
        body: &str,
    ) -> io::Result<bool> {
        let length = format!("{head}content-length: {}\r\n\r\n", body.len());
        let (first, second) = body.split_at(body.len() / 2);
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n{}", chunk(first));
        let unframed = format!("{head}connection: close\r\n\r\n");
        let (first, second) = match self {
            Self::Chunked => (chunked, format!("{}0\r\n\r\n", chunk(second))),
            Self::CutChunks | Self::StalledChunks => (chunked, String::new()),
            Self::CutHead => (head[..head.len() / 2].to_owned(), String::new()),
            Self::CutLength | Self::StalledLength => (length + first, String::new()),
            Self::Late | Self::Length => (length + body, String::new()),
            Self::Reset => (unframed + first, String::new()),
            Self::Unframed => (unframed + first, second.to_owned()),
        };
        if self == Self::Late {
            sleep(STALL).await;
        }
        stream.write_all(first.as_bytes()).await?;
        match self {
            Self::StalledChunks | Self::StalledLength => sleep(STALL).await,
            Self::Late | Self::Length => {}
            _ => sleep(PART_PAUSE).await,
        }
        stream.write_all(second.as_bytes()).await?;
        if self == Self::Reset {
            stream.get_ref().set_zero_linger()?;
        }
        Ok(matches!(self, Self::Chunked | Self::Length))
    }
}

/// Returns a generator that depends on a request's id and its target, so that a seed repeats it.
pub(crate) fn generator(id: &str, target: usize) -> SmallRng {
    let hash = |hash: u64, byte: u8| hash.wrapping_mul(31).wrapping_add(u64::from(byte));
    SmallRng::seed_from_u64(id.bytes().fold(target as u64, hash))
}
