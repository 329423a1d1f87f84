/*!
The open connections of a server, and what they buffer.

Connects the connections to [`Connections`], which decides: a connection is
registered for as long as it is open, asks before it buffers more, and is told
when it has to give way to others.
*/

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_util::FutureExt;
use puffinknot_core::connections::{
    ConnectionId, ConnectionLimits, Connections, Decision,
};
use rustix::net::sockopt::{
    set_socket_recv_buffer_size, set_socket_send_buffer_size,
};
use tokio::sync::oneshot;

use crate::clock;

/// The size of each buffer of a client's socket, in bytes.
const SOCKET_BUFFER_BYTES: usize = 32 << 10;

/// Limits what the kernel buffers for each connection that a listener accepts
/// from now on, so that the buffers of all connections fit into the memory.
///
/// # Errors
///
/// If the system refuses that. The buffers then have its default size.
pub fn limit_socket_buffers(listener: &impl AsFd) -> std::io::Result<()> {
    set_socket_recv_buffer_size(listener, SOCKET_BUFFER_BYTES)?;
    set_socket_send_buffer_size(listener, SOCKET_BUFFER_BYTES)?;
    Ok(())
}

/// The open connections of a server.
pub struct Registry {
    connections: RefCell<Connections>,
    /// Tells connections that they have to give way.
    closers: RefCell<HashMap<ConnectionId, oneshot::Sender<()>>>,
    count: Rc<dyn Fn(&'static str)>,
}

impl Registry {
    /// Creates a registry with these limits. `count` is called for each event
    /// that is counted.
    pub fn new(
        limits: ConnectionLimits,
        count: Rc<dyn Fn(&'static str)>,
    ) -> Rc<Registry> {
        Rc::new(Registry {
            connections: RefCell::new(Connections::new(limits)),
            closers: RefCell::default(),
            count,
        })
    }

    /// Increments the counter of an event.
    pub fn count(&self, what: &'static str) {
        (self.count)(what);
    }

    /// Registers a connection. Returns `None` if it has to be refused.
    pub fn open(self: &Rc<Self>) -> Option<Registration> {
        let opened = self.connections.borrow_mut().open(clock::mono());
        let (id, give_way) = opened?;
        self.close_all(give_way);
        let (closer, closed) = oneshot::channel();
        self.closers.borrow_mut().insert(id, closer);
        Some(Registration {
            registry: self.clone(),
            id,
            closer: closed,
            is_closed: false,
            buffered: 0,
        })
    }

    fn close_all(&self, ids: Vec<ConnectionId>) {
        for id in ids {
            self.count("connections_closed");
            self.closers.borrow_mut().remove(&id);
        }
    }
}

/// An open connection, until this is dropped.
pub struct Registration {
    registry: Rc<Registry>,
    id: ConnectionId,
    /// Ends when the connection has to give way to others.
    closer: oneshot::Receiver<()>,
    is_closed: bool,
    /// What the connection has reported to buffer.
    buffered: usize,
}

impl Registration {
    /// Increments the counter of an event.
    pub fn count(&self, what: &'static str) {
        self.registry.count(what);
    }

    /// Whether the connection has to give way to others. Otherwise wakes the
    /// task when it has to.
    pub fn poll_closed(&mut self, cx: &mut Context<'_>) -> bool {
        self.is_closed =
            self.is_closed || self.closer.poll_unpin(cx) != Poll::Pending;
        self.is_closed
    }

    /// Waits until the connection has to give way to others.
    pub async fn closed(&mut self) {
        poll_fn(|cx| match self.poll_closed(cx) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        })
        .await;
    }

    /// Asks to buffer this many bytes in all. Returns whether there is room.
    pub fn buffer(&mut self, bytes: usize) -> bool {
        if bytes == self.buffered {
            return true;
        }
        let decision = self.registry.connections.borrow_mut().buffer(
            self.id,
            bytes,
            clock::mono(),
        );
        match decision {
            Decision::Granted(closed) => {
                self.buffered = bytes;
                self.registry.close_all(closed);
                true
            }
            Decision::Refused => false,
        }
    }

    /// Reports that nothing is buffered.
    pub fn release(&mut self) {
        // There is always room for less.
        let _ = self.buffer(0);
    }

    /// Reports that something has come from the client.
    pub fn record_receipt(&self) {
        let mut connections = self.registry.connections.borrow_mut();
        connections.record_receipt(self.id, clock::mono());
    }

    /// Sets whether the connection never gives way.
    pub fn set_pinned(&self, pinned: bool) {
        self.pin().set(pinned);
    }

    /// A handle by which another task can pin the connection.
    pub fn pin(&self) -> Pin {
        Pin { registry: self.registry.clone(), id: self.id }
    }
}

/// Keeps a connection from giving way to others.
pub struct Pin {
    registry: Rc<Registry>,
    id: ConnectionId,
}

impl Pin {
    /// Sets whether the connection never gives way.
    pub fn set(&self, pinned: bool) {
        let mut connections = self.registry.connections.borrow_mut();
        connections.set_pinned(self.id, pinned, clock::mono());
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.connections.borrow_mut().close(self.id);
        self.registry.closers.borrow_mut().remove(&self.id);
    }
}
