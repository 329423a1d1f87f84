//! Runs a server on its own thread and stops it when dropped.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use actix_http::Request;
use actix_server::ServerHandle;
use puffinknot::http::{serve, Reply};

/// A running server, which stops when this is dropped.
#[derive(Debug)]
pub struct Running {
    addr: SocketAddr,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Starts a server at `addr`; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on, or the server does not start.
    pub fn start<M, F, Fut>(
        addr: &str,
        make_handler: M,
    ) -> std::io::Result<Running>
    where
        M: Fn() -> F + Send + Clone + 'static,
        F: Fn(Request) -> Fut + Clone + 'static,
        Fut: Future<Output = Reply> + 'static,
    {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let (tx, rx) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let server = serve(listener, 1, make_handler);
                let Ok(server) = server else { return };
                let _ = tx.send(server.handle());
                let _ = server.await;
            });
        });
        let handle = rx
            .recv()
            .map_err(|_| std::io::Error::other("server did not start"))?;
        Ok(Running { addr, handle, thread: Some(thread) })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits until the server ends.
    pub fn join(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        drop(self.handle.stop(false));
    }
}
