//! Framing headers of responses (RFC 9112, section 6).

use http::{
    HeaderMap,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// Checks that the framing of a response has one meaning.
///
/// # Errors
///
/// The reason why the body can't be passed on.
pub(super) fn check_framing(headers: &HeaderMap) -> Result<(), &'static str> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(()) };
    // The parser decodes only chunks; the other codings would become part of the body.
    if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Err("the response has an unknown transfer coding");
    }
    Ok(())
}
