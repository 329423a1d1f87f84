/*!
The format of HTTP/1.1 messages on a connection.

Requests are decoded step by step, each from what has been received so far, so
that a connection decides how much of them it holds. Names, values, methods and
targets are checked by their types. Where a message could be read in two ways,
such as one with two lengths, it is refused.
*/

use std::fmt::Write;
use std::time::SystemTime;

use actix_http::body::BodySize;
use actix_http::header::{
    HeaderName, HeaderValue, HttpDate, CONNECTION, CONTENT_LENGTH, DATE,
    EXPECT, HOST, TRANSFER_ENCODING,
};
use actix_http::{
    HttpMessage, Method, Request, Response, StatusCode, Uri, Version,
};
use bytes::{Buf, Bytes, BytesMut};

/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// The maximum number of headers of a request, and of lines after its chunks.
const MAX_HEADERS: usize = 96;
/// The longest line before or after a chunk, in bytes.
const MAX_LINE_BYTES: usize = 4 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";

/// Why a head is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidHead {
    TooLarge,
    Malformed,
}

/// A body is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidBody;

/// The head of a request, and what follows from it.
pub struct Head {
    pub request: Request,
    /// Decodes the body. `None` if there is none.
    pub body: Option<BodyDecoder>,
    /// Whether the connection can be used for another request.
    pub keep_alive: bool,
    /// Whether the client waits for permission to send the body.
    pub expects_continue: bool,
}

/// Decodes the head of a request.
#[derive(Debug, Default)]
pub struct HeadDecoder {
    /// How many bytes contain no end of the head.
    scanned: usize,
}

impl HeadDecoder {
    /// Removes a head from the input. Returns `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// If it is too large or malformed.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
    ) -> Result<Option<Head>, InvalidHead> {
        while self.scanned == 0 && input.starts_with(LINE_END) {
            input.advance(LINE_END.len());
        }
        let from = self.scanned.saturating_sub(HEAD_END.len() - 1);
        let Some(length) = find(&input[from..], HEAD_END) else {
            self.scanned = input.len();
            return match input.len() >= MAX_HEAD_BYTES {
                true => Err(InvalidHead::TooLarge),
                false => Ok(None),
            };
        };
        self.scanned = 0;
        let head = parse(&input[..from + length])?;
        input.advance(from + length + HEAD_END.len());
        Ok(Some(head))
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// The lines of a head, without their ends.
fn lines(mut head: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        if head.is_empty() {
            return None;
        }
        let end = find(head, LINE_END);
        let line = &head[..end.unwrap_or(head.len())];
        head = end.map_or(&[], |end| &head[end + LINE_END.len()..]);
        Some(line)
    })
}

fn parse(bytes: &[u8]) -> Result<Head, InvalidHead> {
    let mut lines = lines(bytes);
    let mut request = Request::new();
    let first = lines.next().ok_or(InvalidHead::Malformed)?;
    parse_request_line(first, &mut request)?;
    for (count, line) in lines.enumerate() {
        if count == MAX_HEADERS {
            return Err(InvalidHead::TooLarge);
        }
        let (name, value) =
            parse_header(line).ok_or(InvalidHead::Malformed)?;
        request.headers_mut().append(name, value);
    }
    let body = body_decoder(&request)?;
    Ok(Head {
        keep_alive: keeps_alive(&request),
        expects_continue: body.is_some() && expects_continue(&request),
        body,
        request,
    })
}

fn parse_request_line(
    line: &[u8],
    request: &mut Request,
) -> Result<(), InvalidHead> {
    let mut parts = line.split(|byte| *byte == b' ');
    let parts = [parts.next(), parts.next(), parts.next(), parts.next()];
    let [Some(method), Some(target), Some(version), None] = parts else {
        return Err(InvalidHead::Malformed);
    };
    let head = request.head_mut();
    head.method =
        Method::from_bytes(method).map_err(|_| InvalidHead::Malformed)?;
    head.uri = Uri::try_from(target).map_err(|_| InvalidHead::Malformed)?;
    head.version = match version {
        b"HTTP/1.1" => Version::HTTP_11,
        b"HTTP/1.0" => Version::HTTP_10,
        _ => return Err(InvalidHead::Malformed),
    };
    Ok(())
}

fn parse_header(line: &[u8]) -> Option<(HeaderName, HeaderValue)> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let name = HeaderName::from_bytes(&line[..colon]).ok()?;
    let value = line[colon + 1..].trim_ascii();
    Some((name, HeaderValue::from_bytes(value).ok()?))
}

/// The only value of a header. `None` if there is none.
fn single(
    request: &Request,
    name: HeaderName,
) -> Result<Option<&[u8]>, InvalidHead> {
    let mut values = request.headers().get_all(name);
    let value = values.next().map(HeaderValue::as_bytes);
    match values.next() {
        Some(_) => Err(InvalidHead::Malformed),
        None => Ok(value),
    }
}

fn body_decoder(
    request: &Request,
) -> Result<Option<BodyDecoder>, InvalidHead> {
    let is_current = request.version() == Version::HTTP_11;
    if is_current && single(request, HOST)?.is_none() {
        return Err(InvalidHead::Malformed);
    }
    let length = single(request, CONTENT_LENGTH)?;
    let encoding = single(request, TRANSFER_ENCODING)?;
    match (length, encoding) {
        (None, None) => Ok(None),
        (Some(length), None) => match parse_number(length, 10) {
            Some(0) => Ok(None),
            Some(length) => Ok(Some(BodyDecoder::Length(length))),
            None => Err(InvalidHead::Malformed),
        },
        (None, Some(encoding))
            if is_current && encoding.eq_ignore_ascii_case(b"chunked") =>
        {
            Ok(Some(BodyDecoder::Chunked(ChunkState::Size)))
        }
        _ => Err(InvalidHead::Malformed),
    }
}

/// Parses a number of nothing but digits.
fn parse_number(digits: &[u8], radix: u32) -> Option<u64> {
    let text = std::str::from_utf8(digits).ok()?;
    let valid = text.chars().all(|digit| digit.is_digit(radix));
    if !valid {
        return None;
    }
    u64::from_str_radix(text, radix).ok()
}

fn keeps_alive(request: &Request) -> bool {
    let values = request.headers().get_all(CONNECTION);
    let options = values.flat_map(|v| v.as_bytes().split(|b| *b == b','));
    let mut keep_alive = request.version() == Version::HTTP_11;
    for option in options.map(<[u8]>::trim_ascii) {
        if option.eq_ignore_ascii_case(b"close") {
            return false;
        }
        keep_alive |= option.eq_ignore_ascii_case(b"keep-alive");
    }
    // What follows this method is not HTTP.
    keep_alive && request.method() != Method::CONNECT
}

fn expects_continue(request: &Request) -> bool {
    let mut values = request.headers().get_all(EXPECT);
    request.version() == Version::HTTP_11
        && values.any(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// A part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    Data(Bytes),
    End,
}

/// Decodes the body of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyDecoder {
    /// This many bytes are left.
    Length(u64),
    Chunked(ChunkState),
}

/// What comes next in a body in chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkState {
    Size,
    /// This many bytes of a chunk.
    Data(u64),
    DataEnd,
    /// Lines after the last chunk, of which there were this many.
    Trailer(usize),
}

impl BodyDecoder {
    /// Removes a part of the body from the input. Returns `None` if more input
    /// is needed. Call this no more after [`Part::End`].
    ///
    /// # Errors
    ///
    /// If the body is malformed.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
    ) -> Result<Option<Part>, InvalidBody> {
        match self {
            BodyDecoder::Length(0) => Ok(Some(Part::End)),
            BodyDecoder::Length(left) => Ok(take(input, left)),
            BodyDecoder::Chunked(state) => state.decode(input),
        }
    }
}

/// Takes as much as there is of what is left.
fn take(input: &mut BytesMut, left: &mut u64) -> Option<Part> {
    if input.is_empty() {
        return None;
    }
    let length = usize::try_from(*left)
        .map_or(input.len(), |left| left.min(input.len()));
    *left -= length as u64;
    Some(Part::Data(input.split_to(length).freeze()))
}

impl ChunkState {
    fn decode(
        &mut self,
        input: &mut BytesMut,
    ) -> Result<Option<Part>, InvalidBody> {
        loop {
            *self = match self {
                ChunkState::Size => {
                    let Some(line) = take_line(input)? else {
                        return Ok(None);
                    };
                    match parse_chunk_size(&line).ok_or(InvalidBody)? {
                        0 => ChunkState::Trailer(0),
                        size => ChunkState::Data(size),
                    }
                }
                ChunkState::Data(0) => ChunkState::DataEnd,
                ChunkState::Data(left) => return Ok(take(input, left)),
                ChunkState::DataEnd => match take_line(input)? {
                    Some(line) if line.is_empty() => ChunkState::Size,
                    Some(_) => return Err(InvalidBody),
                    None => return Ok(None),
                },
                ChunkState::Trailer(count) => match take_line(input)? {
                    Some(line) if line.is_empty() => {
                        return Ok(Some(Part::End))
                    }
                    Some(_) if *count == MAX_HEADERS => {
                        return Err(InvalidBody)
                    }
                    Some(_) => ChunkState::Trailer(*count + 1),
                    None => return Ok(None),
                },
            };
        }
    }
}

/// Removes a line from the input. Returns `None` if it is incomplete.
fn take_line(input: &mut BytesMut) -> Result<Option<Bytes>, InvalidBody> {
    let searched = &input[..input.len().min(MAX_LINE_BYTES)];
    let Some(length) = find(searched, LINE_END) else {
        return match input.len() >= MAX_LINE_BYTES {
            true => Err(InvalidBody),
            false => Ok(None),
        };
    };
    let line = input.split_to(length).freeze();
    input.advance(LINE_END.len());
    let valid = line.iter().all(|b| *b == b'\t' || !b.is_ascii_control());
    if valid {
        Ok(Some(line))
    } else {
        Err(InvalidBody)
    }
}

/// Parses the line before a chunk: its size, and extensions, which are not
/// used.
fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let size = line.split(|byte| *byte == b';').next()?;
    parse_number(size.trim_ascii_end(), 16)
}

/// What the form of an answer depends on, besides the answer itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerFormat {
    /// The version of the request.
    pub version: Version,
    /// Whether the connection is kept open afterwards.
    pub keep_alive: bool,
}

impl AnswerFormat {
    /// Whether a body of this size is sent in chunks. Otherwise, if its size
    /// is not known, the end of the connection is its end.
    pub fn is_chunked(self, size: BodySize) -> bool {
        size == BodySize::Stream && self.version == Version::HTTP_11
    }

    /// The head of an answer with a body of this size.
    pub fn head(self, response: &Response<()>, size: BodySize) -> String {
        let status = response.status();
        let mut head = format!(
            "HTTP/1.1 {} {}\r\n",
            status.as_str(),
            status.canonical_reason().unwrap_or_default()
        );
        // Writing to a text does not fail.
        let _ = match size {
            BodySize::Sized(length) => {
                write!(head, "{CONTENT_LENGTH}: {length}\r\n")
            }
            BodySize::None if has_no_body(status) => Ok(()),
            BodySize::None => write!(head, "{CONTENT_LENGTH}: 0\r\n"),
            BodySize::Stream if self.is_chunked(size) => {
                write!(head, "{TRANSFER_ENCODING}: chunked\r\n")
            }
            BodySize::Stream => Ok(()),
        };
        match (self.keep_alive, self.version) {
            (false, _) => head.push_str("connection: close\r\n"),
            (true, Version::HTTP_11) => {}
            (true, _) => head.push_str("connection: keep-alive\r\n"),
        }
        for (name, value) in response.headers() {
            let own = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, DATE];
            if let (false, Ok(value)) = (own.contains(name), value.to_str()) {
                let _ = write!(head, "{name}: {value}\r\n");
            }
        }
        let date = HttpDate::from(SystemTime::now());
        let _ = write!(head, "{DATE}: {date}\r\n\r\n");
        head
    }
}

fn has_no_body(status: StatusCode) -> bool {
    status.is_informational()
        || [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status)
}

/// Appends a chunk of a body. An empty one would end the body.
pub fn append_chunk(output: &mut BytesMut, chunk: &[u8]) {
    if !chunk.is_empty() {
        output.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        output.extend_from_slice(chunk);
        output.extend_from_slice(LINE_END);
    }
}

/// Appends the end of a body in chunks.
pub fn append_last_chunk(output: &mut BytesMut) {
    output.extend_from_slice(b"0\r\n\r\n");
}
