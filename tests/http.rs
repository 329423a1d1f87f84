//! Tests of the HTTP server with raw clients.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::{Request, StatusCode};
use puffinknot::http::{
    read_body, serve_with, text, BodyError, Reply, ServerOptions,
};
use puffinknot_core::connections::{ConnectionLimits, ALLOWANCE_BYTES};

/// The largest body that the handler accepts, in bytes.
const MAX_BODY_BYTES: usize = 100_000;
/// The time limit for whatever a test expects.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A server that answers with the path and the length of the body.
struct TestServer {
    address: SocketAddr,
    handle: actix_server::ServerHandle,
    counts: Arc<Mutex<Vec<&'static str>>>,
}

impl TestServer {
    fn start(limits: ConnectionLimits) -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let counts: Arc<Mutex<Vec<&'static str>>> = Arc::default();
        let counted = counts.clone();
        let count = move |what| counted.lock().expect("counts").push(what);
        let (started, handle) = mpsc::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let options = ServerOptions { limits, ..Default::default() };
                let server =
                    serve_with(listener, 1, options, Arc::new(count), || {
                        answer
                    })
                    .expect("a server");
                started.send(server.handle()).expect("the test waits");
                server.await.expect("it is stopped");
            });
        });
        let handle = handle.recv().expect("a handle");
        TestServer { address, handle, counts }
    }

    fn connect(&self) -> TcpStream {
        let tcp = TcpStream::connect(self.address).expect("a connection");
        tcp.set_read_timeout(Some(WAIT_LIMIT)).expect("a timeout");
        tcp
    }

    /// All that the server answers to these bytes.
    fn exchange(&self, bytes: &[u8]) -> String {
        let mut tcp = self.connect();
        tcp.write_all(bytes).expect("it is read");
        tcp.shutdown(Shutdown::Write).expect("it is open");
        read_all(tcp)
    }

    /// Sends these bytes again until they are accepted. Returns how often they
    /// were refused.
    fn exchange_until_accepted(&self, bytes: &[u8]) -> usize {
        let started = Instant::now();
        for refused in 0.. {
            let answers = self.exchange(bytes);
            if answers.starts_with("HTTP/1.1 200 ") {
                return refused;
            }
            assert!(answers.starts_with("HTTP/1.1 503 "), "{answers}");
            assert!(started.elapsed() < WAIT_LIMIT, "nothing gives way");
        }
        unreachable!("the time limit is reached first")
    }

    fn counted(&self, what: &str) -> usize {
        let counts = self.counts.lock().expect("counts");
        counts.iter().filter(|counted| **counted == what).count()
    }
}

impl Drop for TestServer {
    fn drop(&mut self) {
        drop(self.handle.stop(false));
    }
}

async fn answer(mut request: Request) -> Reply {
    let path = request.path().to_string();
    if path == "/unread" {
        return text(StatusCode::OK, "unread");
    }
    let payload = request.take_payload();
    match read_body(payload, MAX_BODY_BYTES, WAIT_LIMIT).await {
        Ok(body) => text(StatusCode::OK, &format!("{path} {}", body.len())),
        Err(BodyError::NoRoom) => {
            text(StatusCode::SERVICE_UNAVAILABLE, "no room")
        }
        Err(BodyError::TooLarge) => {
            text(StatusCode::PAYLOAD_TOO_LARGE, "too large")
        }
        Err(_) => text(StatusCode::BAD_REQUEST, "broken"),
    }
}

fn read_all(mut tcp: TcpStream) -> String {
    let mut answers = String::new();
    tcp.read_to_string(&mut answers).expect("answers, and an end");
    answers
}

/// Reads until the answers contain a text.
fn read_until(tcp: &mut TcpStream, expected: &str) -> String {
    let mut answers = Vec::new();
    let mut byte = [0];
    while !String::from_utf8_lossy(&answers).contains(expected) {
        let read = tcp.read(&mut byte).expect("an answer");
        assert_eq!(read, 1, "{}", String::from_utf8_lossy(&answers));
        answers.push(byte[0]);
    }
    String::from_utf8(answers).expect("text")
}

fn post(path: &str, length: usize) -> Vec<u8> {
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    bytes
}

const ROOMY: ConnectionLimits =
    ConnectionLimits { connections: 64, buffered_bytes: 1 << 20 };

#[test]
fn pipelined_requests_are_answered_in_their_order() {
    let server = TestServer::start(ROOMY);
    let mut bytes = Vec::new();
    for n in 0..500 {
        bytes.extend(post(&format!("/{n}"), n));
    }
    let answers = server.exchange(&bytes);
    let mut bodies = answers.lines().filter(|line| line.starts_with('/'));
    for n in 0..500 {
        assert_eq!(bodies.next(), Some(format!("/{n} {n}").as_str()));
    }
    assert_eq!(bodies.next(), None);
}

#[test]
fn a_body_in_chunks_is_put_together() {
    let server = TestServer::start(ROOMY);
    let mut bytes = b"POST /c HTTP/1.1\r\nHost: h\r\n\
        Transfer-Encoding: chunked\r\n\r\n"
        .to_vec();
    for length in [1, 7, 40_000, 3] {
        bytes.extend(format!("{length:x}\r\n").bytes());
        bytes.resize(bytes.len() + length, b'x');
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes.extend(post("/next", 5));
    let answers = server.exchange(&bytes);
    assert!(answers.contains("/c 40011\n"), "{answers}");
    assert!(answers.contains("/next 5\n"), "{answers}");
}

#[test]
fn a_refused_body_ends_the_connection_after_the_answer() {
    let server = TestServer::start(ROOMY);
    for (path, status) in [("/", "413"), ("/unread", "200")] {
        let mut bytes = post(path, MAX_BODY_BYTES + 1);
        bytes.extend(post("/smuggled", 0));
        let answers = server.exchange(&bytes);
        assert!(answers.starts_with(&format!("HTTP/1.1 {status} ")));
        assert!(answers.contains("connection: close"), "{answers}");
        assert!(!answers.contains("smuggled"), "{answers}");
    }
}

#[test]
fn a_body_that_is_cut_off_is_answered() {
    let server = TestServer::start(ROOMY);
    let mut bytes = post("/", 1_000);
    bytes.pop();
    let answers = server.exchange(&bytes);
    assert!(answers.starts_with("HTTP/1.1 400 "), "{answers}");
}

#[test]
fn invalid_and_endless_heads_are_refused() {
    let server = TestServer::start(ROOMY);
    let answers = server.exchange(b"GET nowhere\r\n\r\n");
    assert!(answers.starts_with("HTTP/1.1 400 "), "{answers}");
    let mut head = b"GET / HTTP/1.1\r\nX: ".to_vec();
    head.resize(140_000, b'x');
    let answers = server.exchange(&head);
    assert!(answers.starts_with("HTTP/1.1 431 "), "{answers}");
    assert_eq!(server.counted("heads_invalid"), 2);
}

#[test]
fn a_client_that_waits_for_permission_gets_it() {
    let server = TestServer::start(ROOMY);
    let mut tcp = server.connect();
    tcp.write_all(
        b"POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\
          Content-Length: 2\r\n\r\n",
    )
    .expect("it is read");
    read_until(&mut tcp, "HTTP/1.1 100 Continue\r\n\r\n");
    tcp.write_all(b"xx").expect("it is read");
    read_until(&mut tcp, "/e 2\n");
}

#[test]
fn a_head_request_gets_no_body() {
    let server = TestServer::start(ROOMY);
    let bytes = b"HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n";
    let answers = server.exchange(bytes);
    assert!(answers.starts_with("HTTP/1.1 200 "), "{answers}");
    assert!(answers.ends_with("\r\n\r\n"), "{answers}");
}

#[test]
fn a_large_body_waits_for_no_silent_one() {
    let limits = ConnectionLimits {
        connections: 64,
        buffered_bytes: 2 * MAX_BODY_BYTES,
    };
    let server = TestServer::start(limits);
    let mut unfinished = post("/", MAX_BODY_BYTES);
    unfinished.pop();
    let mut silent = server.connect();
    silent.write_all(&unfinished).expect("it is read");
    // The newcomer is refused until the other one counts as silent.
    server.exchange_until_accepted(&post("/", MAX_BODY_BYTES));
    let answers = read_all(silent);
    assert!(answers.starts_with("HTTP/1.1 503 "), "{answers}");
    assert_eq!(server.counted("connections_closed"), 1);
    let answers = server.exchange(&post("/", ALLOWANCE_BYTES / 2));
    assert!(answers.starts_with("HTTP/1.1 200 "), "{answers}");
}

#[test]
fn an_idle_connection_gives_way_to_a_new_one() {
    let limits = ConnectionLimits { connections: 2, buffered_bytes: 0 };
    let server = TestServer::start(limits);
    let idle: Vec<_> = (0..2)
        .map(|_| {
            let mut tcp = server.connect();
            tcp.write_all(&post("/", 1)).expect("it is read");
            read_until(&mut tcp, "/ 1\n");
            tcp
        })
        .collect();
    let refused = server.exchange_until_accepted(&post("/", 1));
    let [first, second] = <[_; 2]>::try_from(idle).expect("two");
    assert_eq!(read_all(first), "", "the longest idle one ends");
    drop(second);
    assert_eq!(server.counted("connections_refused"), refused);
}

/// The status line of the only answer to a request, which ends the connection
/// if it is refused.
fn status(server: &TestServer, request: &str) -> String {
    let answers = server.exchange(request.as_bytes());
    answers.lines().next().unwrap_or_default().to_string()
}

#[test]
fn heads_that_can_be_read_in_two_ways_are_refused() {
    let server = TestServer::start(ROOMY);
    let invalid = [
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
        "GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1 \r\nHost: h\r\n\r\n",
        "GET /\x01 HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nX: y\r\n folded\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nX: y\nZ: z\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\nx",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\nx",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: \r\n\r\nx",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\
         Content-Length: 1\r\n\r\nx",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\n\
         Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ];
    for request in invalid {
        let status = status(&server, request);
        assert_eq!(status, "HTTP/1.1 400 Bad Request", "{request:?}");
    }
    assert_eq!(server.counted("heads_invalid"), invalid.len());
    let headers = "X: y\r\n".repeat(96);
    let request = format!("GET / HTTP/1.1\r\nHost: h\r\n{headers}\r\n");
    assert!(status(&server, &request).starts_with("HTTP/1.1 431 "));
}

#[test]
fn chunks_that_are_malformed_are_refused() {
    let server = TestServer::start(ROOMY);
    let head = "POST / HTTP/1.1\r\nHost: h\r\n\
        Transfer-Encoding: chunked\r\n\r\n";
    let long = format!("1;{}\r\nx\r\n0\r\n\r\n", "e".repeat(5_000));
    let trailers = format!("0\r\n{}\r\n", "X: y\r\n".repeat(97));
    for chunks in [
        "x\r\n",
        "\r\n",
        "-1\r\nx\r\n0\r\n\r\n",
        "0x1\r\nx\r\n0\r\n\r\n",
        "1\nx\r\n0\r\n\r\n",
        "1;\x00\r\nx\r\n0\r\n\r\n",
        "1\r\nxy\r\n0\r\n\r\n",
        "11111111111111111\r\nx\r\n0\r\n\r\n",
        &long,
        &trailers,
    ] {
        let status = status(&server, &format!("{head}{chunks}"));
        assert_eq!(status, "HTTP/1.1 400 Bad Request", "{chunks:?}");
    }
}

#[test]
fn a_request_may_come_in_any_pieces() {
    let server = TestServer::start(ROOMY);
    let request = b"\r\nPOST /p HTTP/1.1\r\nhost:h\r\nX-Empty:\r\n\
        Connection: Keep-Alive\r\nTransfer-Encoding: Chunked\r\n\r\n\
        3;name=value\r\nabc\r\n0A \r\n0123456789\r\n00\r\nX: y\r\n\r\n";
    for size in [1, 2, 3, 7, 50, request.len()] {
        let mut tcp = server.connect();
        tcp.set_nodelay(true).expect("it is open");
        for piece in request.chunks(size) {
            tcp.write_all(piece).expect("it is read");
        }
        read_until(&mut tcp, "/p 13\n");
        tcp.write_all(&post("/again", 3)).expect("it is open");
        read_until(&mut tcp, "/again 3\n");
    }
}

#[test]
fn a_connection_is_kept_open_if_the_client_wishes() {
    let server = TestServer::start(ROOMY);
    for (version, option, kept) in [
        ("HTTP/1.1", "", true),
        ("HTTP/1.1", "Connection: x, close\r\n", false),
        ("HTTP/1.0", "", false),
        ("HTTP/1.0", "Connection: keep-alive\r\n", true),
    ] {
        let request = format!("GET /k {version}\r\nHost: h\r\n{option}\r\n");
        let answers = server.exchange(request.repeat(2).as_bytes());
        let count = answers.matches("HTTP/1.1 200 OK\r\n").count();
        assert_eq!(count, if kept { 2 } else { 1 }, "{version} {option}");
        let says_close = answers.contains("connection: close");
        assert_eq!(says_close, !kept, "{version} {option}");
    }
}
