//! The stream of one link: writes frames with at most one file descriptor each, and reads events
//! and the descriptors that belong to them.

use postproxy_handover::{Link, LinkEvent};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;

/// Size of the read buffer, in bytes.
const READ_CHUNK_BYTES: usize = 32 << 10;
/// Maximum number of descriptors whose messages have not been decoded yet; a link with more is
/// closed.
const MAX_EARLY_DESCRIPTORS: usize = 1024;

/// Bytes to write, and the descriptor that is sent with the first of them.
struct OutgoingFrame {
    bytes: Vec<u8>,
    descriptor: Option<OwnedFd>,
}

/// One link to a sibling process.
pub(super) struct Session {
    pub(super) stream: UnixStream,
    pub(super) link: Link,
    outgoing: VecDeque<OutgoingFrame>,
    /// Bytes of the first outgoing frame that have been written.
    written: usize,
    /// Bytes of all outgoing frames that have not been written.
    queued: usize,
    /// Received descriptors, in order; `None` for one that the kernel discarded because this
    /// process had no free descriptor.
    received: VecDeque<Option<OwnedFd>>,
}

impl Session {
    /// Wraps a connected stream, which must be non-blocking.
    pub(super) fn new(stream: UnixStream, link: Link) -> Self {
        Self {
            stream,
            link,
            outgoing: VecDeque::new(),
            written: 0,
            queued: 0,
            received: VecDeque::new(),
        }
    }

    /// Returns the number of bytes that are queued to be written.
    pub(super) fn queued_bytes(&self) -> usize {
        self.queued
    }

    /// Whether all frames have been written.
    pub(super) fn is_flushed(&self) -> bool {
        self.outgoing.is_empty()
    }

    /// Queues bytes to be written, and a descriptor to be sent with the first of them.
    pub(super) fn enqueue(&mut self, bytes: Vec<u8>, descriptor: Option<OwnedFd>) {
        self.queued += bytes.len();
        self.outgoing.push_back(OutgoingFrame { bytes, descriptor });
    }

    /// Removes the descriptor of the next event that carries one; `None` if it was lost.
    pub(super) fn take_descriptor(&mut self) -> Option<OwnedFd> {
        self.received.pop_front().flatten()
    }

    /// Writes queued frames until all are written or the send buffer is full.
    ///
    /// # Errors
    ///
    /// If the stream is broken. The caller closes the link.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while let Some(frame) = self.outgoing.front_mut() {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let passed = frame.descriptor.as_ref().map(|d| [d.as_fd()]);
            if let Some(passed) = &passed {
                control.push(SendAncillaryMessage::ScmRights(passed));
            }
            let slice = [IoSlice::new(&frame.bytes[self.written..])];
            match rustix::net::sendmsg(&self.stream, &slice, &mut control, SendFlags::NOSIGNAL) {
                Ok(size) => {
                    // The descriptor was sent with the first byte: close this process's copy.
                    drop(frame.descriptor.take());
                    self.written += size;
                    self.queued -= size;
                    if self.written == frame.bytes.len() {
                        self.outgoing.pop_front();
                        self.written = 0;
                    }
                }
                // The limit on descriptors in transit is reached; handled like a full send buffer.
                Err(error) if error == rustix::io::Errno::TOOMANYREFS => return Ok(()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }

    /// Reads until no more bytes are available, and appends the events to `events`.
    ///
    /// # Errors
    ///
    /// If the stream has ended or its bytes are invalid. The caller handles the events that were
    /// appended before the error, and closes the link.
    pub(super) fn read(&mut self, events: &mut Vec<LinkEvent>) -> io::Result<()> {
        let mut bytes = vec![0; READ_CHUNK_BYTES];
        loop {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(16))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut slice = [IoSliceMut::new(&mut bytes)];
            let flags = RecvFlags::CMSG_CLOEXEC;
            let (size, truncated) =
                match rustix::net::recvmsg(&self.stream, &mut slice, &mut control, flags) {
                    Ok(received) => (received.bytes, received.flags.contains(ReturnFlags::CTRUNC)),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                    Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                    Err(error) => return Err(error.into()),
                };
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    self.received.extend(descriptors.map(Some));
                }
            }
            if truncated {
                // `None` keeps the place of the lost descriptor. Without it, this message would get
                // the descriptor of the next one, and a request would be answered to the wrong
                // client. At most one is lost per read, because the sibling sends one descriptor at
                // a time and a read does not go beyond the bytes that were sent with it.
                self.received.push_back(None);
            }
            if size == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            self.link
                .receive(&bytes[..size], events)
                .map_err(io::Error::other)?;
            if self.received.len() > MAX_EARLY_DESCRIPTORS {
                return Err(io::Error::other(format!(
                    "more than {MAX_EARLY_DESCRIPTORS} descriptors received without their messages"
                )));
            }
        }
    }
}
