/*!
One HTTP/1.1 connection of a client.

A connection holds one request at a time. While it is being answered, nothing
more is read, so that requests that a client sends ahead stay in the buffers of
the network. A body is read as fast as the handler takes it, and what is
buffered is reported to the server, which may refuse more or close the
connection, see [`puffinknot_core::connections`].
*/

use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::{
    ConnectionType, Method, Payload, Request, Response, StatusCode, Version,
};
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::coop;
use tokio::time::timeout;

use super::format::{
    append_chunk, append_last_chunk, AnswerFormat, BodyDecoder, Head,
    HeadDecoder, InvalidBody, InvalidHead, Part,
};
use super::Reply;
use crate::registry::Registration;

/// How much is read at once, in bytes.
const READ_BYTES: usize = 8 << 10;
/// The timeout for sending an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the rest of a refused request is read, so that the client can read
/// the answer: a connection that is closed with unread bytes is reset.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Sent where a client waits for permission to send a body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Sent where a request is refused before it is read.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Tells a client that its request is refused.
pub async fn write_refusal(tcp: &mut TcpStream) {
    // A client that reads no answers learns it from the end of the connection.
    let _ = timeout(WRITE_TIMEOUT, tcp.write_all(REFUSAL)).await;
}

/// Closes a connection after the answer to a request that was not read. Until
/// the client closes it, too, what the client sends is dropped.
pub async fn linger(mut tcp: TcpStream) {
    let mut unread = [0; 1 << 10];
    let drain = async {
        tcp.shutdown().await?;
        while tcp.read(&mut unread).await? > 0 {}
        Ok::<_, std::io::Error>(())
    };
    // The answer is sent, whether or not the client closes the connection.
    let _ = timeout(LINGER_TIMEOUT, drain).await;
}

/// Why nothing more can be read.
#[derive(Debug)]
enum ReadError {
    /// The server closes the connection in favor of others.
    Closed,
    /// The server has no room for more.
    NoRoom,
    /// The connection is broken.
    Broken,
}

/// Why a connection ends before a request.
#[derive(Debug)]
pub enum HeadError {
    /// The client has closed it, or it is broken.
    Ended,
    /// It is closed in favor of others.
    Closed,
    /// The server has no room for the head.
    NoRoom,
    /// The head is not valid.
    Invalid(StatusCode),
}

/// How far the body of the current request has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Body {
    /// This many bytes of it. The decoder decodes the rest.
    Partial(usize, BodyDecoder),
    Complete,
    Failed,
}

/// A connection, and the request that it holds.
pub struct Connection {
    tcp: TcpStream,
    input: BytesMut,
    head_decoder: HeadDecoder,
    body: Body,
    /// How the current request is answered.
    format: AnswerFormat,
    /// Whether the answer to the current request has no body.
    omits_body: bool,
    /// What is left to send before the client sends the body.
    interim: &'static [u8],
    registration: Registration,
}

impl Connection {
    pub fn new(tcp: TcpStream, registration: Registration) -> Connection {
        Connection {
            tcp,
            input: BytesMut::new(),
            head_decoder: HeadDecoder::default(),
            body: Body::Complete,
            format: AnswerFormat {
                version: Version::HTTP_11,
                keep_alive: false,
            },
            omits_body: false,
            interim: &[],
            registration,
        }
    }

    /// Whether a part of the next request has been received.
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Waits until the first part of the next request has been received.
    /// Returns `false` if there will be none.
    pub async fn has_next(&mut self) -> bool {
        self.has_input()
            || matches!(poll_fn(|cx| self.poll_fill(cx)).await, Ok(1..))
    }

    /// Receives the head of the next request.
    ///
    /// # Errors
    ///
    /// If there is no such request.
    pub async fn read_head(&mut self) -> Result<Request, HeadError> {
        loop {
            match self.head_decoder.decode(&mut self.input) {
                Ok(Some(head)) => return Ok(self.begin(head)),
                Ok(None) => {}
                Err(InvalidHead::TooLarge) => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err(HeadError::Invalid(status));
                }
                Err(InvalidHead::Malformed) => {
                    return Err(HeadError::Invalid(StatusCode::BAD_REQUEST));
                }
            }
            match poll_fn(|cx| self.poll_fill(cx)).await {
                Ok(0) | Err(ReadError::Broken) => {
                    return Err(HeadError::Ended)
                }
                Ok(_) => {}
                Err(ReadError::Closed) => return Err(HeadError::Closed),
                Err(ReadError::NoRoom) => return Err(HeadError::NoRoom),
            }
        }
    }

    fn begin(&mut self, head: Head) -> Request {
        let Head { request, body, keep_alive, expects_continue } = head;
        let version = request.version();
        self.format = AnswerFormat { version, keep_alive };
        self.omits_body = request.method() == Method::HEAD;
        self.interim = if expects_continue { CONTINUE } else { &[] };
        match body {
            Some(decoder) => self.body = Body::Partial(0, decoder),
            None => {
                self.body = Body::Complete;
                self.registration.set_pinned(true);
            }
        }
        request
    }

    /// Answers a request with `handle`. Returns the connection if it can be
    /// used for another request.
    pub async fn answer<F>(
        self,
        mut request: Request,
        handle: impl FnOnce(Request) -> F,
    ) -> Option<Connection>
    where
        F: Future<Output = Reply>,
    {
        let (reply, connection) = if self.body == Body::Complete {
            (handle(request).await, self)
        } else {
            let shared = Rc::new(RefCell::new(self));
            let stream = BodyStream { connection: shared.clone() };
            let payload = Payload::Stream { payload: Box::pin(stream) as _ };
            *request.payload() = payload;
            let reply = handle(request).await;
            (reply, Rc::into_inner(shared)?.into_inner())
        };
        connection.send(reply).await
    }

    /// Refuses a request whose head is not valid or not complete, and closes
    /// the connection.
    pub async fn reject(mut self, status: StatusCode) {
        self.body = Body::Failed;
        self.send(Response::new(status).map_into_boxed_body()).await;
    }

    /// Refuses a request for whose head there is no room, and closes the
    /// connection.
    pub async fn refuse(mut self) {
        write_refusal(&mut self.tcp).await;
        self.close().await;
    }

    /// Closes the connection after an answer to a request that is not read.
    async fn close(mut self) {
        self.registration.release();
        self.input = BytesMut::new();
        linger(self.tcp).await;
    }

    /// Sends an answer. Returns the connection if another request can follow.
    async fn send(mut self, reply: Reply) -> Option<Connection> {
        let (head, body) = reply.into_parts();
        let close = head.head().connection_type() == ConnectionType::Close;
        if close || self.body != Body::Complete {
            self.format.keep_alive = false;
        }
        self.write_answer(head, body).await?;
        self.registration.set_pinned(false);
        self.registration.release();
        if self.body != Body::Complete {
            // What follows a body that was not read is not a request.
            self.close().await;
            return None;
        }
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        self.format.keep_alive.then_some(self)
    }

    /// Returns `None` if the client does not get the answer.
    async fn write_answer(
        &mut self,
        head: Response<()>,
        mut body: BoxBody,
    ) -> Option<()> {
        let size = body.size();
        let chunked = self.format.is_chunked(size);
        if size == BodySize::Stream && !chunked {
            // The end of the connection ends such a body.
            self.format.keep_alive = false;
        }
        let head = self.format.head(&head, size);
        let mut output = BytesMut::from(head.as_bytes());
        let is_empty = matches!(size, BodySize::None | BodySize::Sized(0));
        if is_empty || self.omits_body {
            return self.write(&mut output).await;
        }
        loop {
            if size == BodySize::Stream {
                self.write(&mut output).await?;
            }
            match self.next_chunk(&mut body, size).await? {
                Some(chunk) if chunked => append_chunk(&mut output, &chunk),
                Some(chunk) => output.extend_from_slice(&chunk),
                None => break,
            }
        }
        if chunked {
            append_last_chunk(&mut output);
        }
        self.write(&mut output).await
    }

    /// The next part of an answer, or `None` if the client leaves during a
    /// stream or the answer can't be continued.
    async fn next_chunk(
        &mut self,
        body: &mut BoxBody,
        size: BodySize,
    ) -> Option<Option<Bytes>> {
        poll_fn(|cx| {
            if let Poll::Ready(chunk) = Pin::new(&mut *body).poll_next(cx) {
                return Poll::Ready(chunk.transpose().ok());
            }
            let may_leave = size == BodySize::Stream && !self.has_input();
            if may_leave && !matches!(ready!(self.poll_fill(cx)), Ok(1..)) {
                return Poll::Ready(None);
            }
            Poll::Pending
        })
        .await
    }

    async fn write(&mut self, output: &mut BytesMut) -> Option<()> {
        let written = timeout(WRITE_TIMEOUT, self.tcp.write_all(output)).await;
        if written.is_err() {
            self.registration.count("answers_not_read");
        }
        output.clear();
        written.ok()?.ok()
    }

    /// Reads more input. Returns the number of bytes, or zero at the end.
    fn poll_fill(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<usize, ReadError>> {
        if self.registration.poll_closed(cx) {
            return Poll::Ready(Err(ReadError::Closed));
        }
        if self.input.capacity() - self.input.len() < READ_BYTES / 2 {
            let size = (self.input.len() + READ_BYTES).next_power_of_two();
            if !self.registration.buffer(size + self.body_buffer()) {
                return Poll::Ready(Err(ReadError::NoRoom));
            }
            self.input.reserve(READ_BYTES);
        }
        let read = pin!(self.tcp.read_buf(&mut self.input));
        let read = ready!(read.poll(cx));
        self.registration.record_receipt();
        Poll::Ready(read.map_err(|_| ReadError::Broken))
    }

    /// An upper bound of the buffer that collects the body.
    fn body_buffer(&self) -> usize {
        match self.body {
            Body::Partial(0, _) | Body::Complete | Body::Failed => 0,
            Body::Partial(bytes, _) => bytes.next_power_of_two(),
        }
    }

    /// Reads more of the body.
    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, PayloadError>>> {
        if !matches!(self.body, Body::Partial(..)) {
            return Poll::Ready(None);
        }
        while !self.interim.is_empty() {
            let tcp = Pin::new(&mut self.tcp);
            match ready!(tcp.poll_write(cx, self.interim)) {
                Ok(written) => self.interim = &self.interim[written..],
                // The client does not send the body, either.
                Err(_) => self.interim = &[],
            }
        }
        // Many small chunks of one body must not delay other tasks.
        let progress = ready!(coop::poll_proceed(cx));
        loop {
            let Body::Partial(received, decoder) = &mut self.body else {
                return Poll::Ready(None);
            };
            let error = match decoder.decode(&mut self.input) {
                Ok(Some(Part::Data(bytes))) => {
                    progress.made_progress();
                    *received += bytes.len();
                    let size = READ_BYTES + self.body_buffer();
                    if self.registration.buffer(size) {
                        return Poll::Ready(Some(Ok(bytes)));
                    }
                    PayloadError::Overflow
                }
                Ok(Some(Part::End)) => {
                    self.body = Body::Complete;
                    self.registration.set_pinned(true);
                    return Poll::Ready(None);
                }
                Err(InvalidBody) => PayloadError::EncodingCorrupted,
                Ok(None) => match ready!(self.poll_fill(cx)) {
                    Ok(1..) => continue,
                    Ok(0) | Err(ReadError::Broken) => {
                        PayloadError::Incomplete(None)
                    }
                    Err(ReadError::Closed | ReadError::NoRoom) => {
                        PayloadError::Overflow
                    }
                },
            };
            self.body = Body::Failed;
            return Poll::Ready(Some(Err(error)));
        }
    }
}

/// The body of the current request of a connection.
struct BodyStream {
    connection: Rc<RefCell<Connection>>,
}

impl Stream for BodyStream {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Self::Item>> {
        self.connection.borrow_mut().poll_body(cx)
    }
}
