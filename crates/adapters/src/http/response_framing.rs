//! Framing headers of responses (RFC 9112, section 6).

use http::{
    HeaderMap, HeaderValue,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// Checks that the framing of a response has one meaning, and writes its length in the usual form.
///
/// # Errors
///
/// The reason why the body can't be passed on.
pub(super) fn check_framing(headers: &mut HeaderMap) -> Result<(), &'static str> {
    check_coding(headers)?;
    if headers.contains_key(CONTENT_LENGTH) {
        // Callers may not accept a length that is repeated.
        let length = parse_length(headers).ok_or("the response has no valid length")?;
        headers.insert(CONTENT_LENGTH, length.into());
    }
    Ok(())
}

fn check_coding(headers: &HeaderMap) -> Result<(), &'static str> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(()) };
    // The parser decodes only chunks; the other codings would become part of the body.
    if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Err("the response has an unknown transfer coding");
    }
    Ok(())
}

/// Parses the length of a body, which may be repeated. Returns `None` if it has several values.
fn parse_length(headers: &HeaderMap) -> Option<u64> {
    let values = headers.get_all(CONTENT_LENGTH).iter().map(HeaderValue::to_str);
    let mut length = None;
    for value in values {
        for text in value.ok()?.split(',').map(str::trim) {
            let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
            let parsed: u64 = text.parse().ok().filter(|_| is_number)?;
            if *length.get_or_insert(parsed) != parsed {
                return None;
            }
        }
    }
    length
}
