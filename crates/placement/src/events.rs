//! Splits a stream into complete events, so that it can be resumed at another server after the last
//! one.

/// Reads the event id from a line of an event, if the line holds one.
pub type IdReader = fn(&[u8]) -> Option<u64>;

/// The most bytes of an incomplete event that are buffered.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into complete events.
///
/// This guards against a server that stops in the middle of an event: the stream is resumed at
/// another server, and the caller gets half an event joined to a complete one, or an event twice.
/// Only complete events are passed on, and none whose id was passed on before.
#[derive(Debug)]
pub struct EventSplitter {
    read_id: IdReader,
    last_id: Option<u64>,
    partial: Vec<u8>,
    /// The length of the complete lines of `partial`, which are read once: an event may come byte by byte.
    read: usize,
}

/// The error for a stream that can't be passed on, because an event of it is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Creates a splitter for a stream whose caller has all events up to this id.
    pub fn new(read_id: IdReader, last_id: Option<u64>) -> Self {
        Self {
            read_id,
            last_id,
            partial: Vec::new(),
            read: 0,
        }
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether no incomplete event is buffered.
    pub fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// Discards the incomplete event, because the stream is resumed at another server.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.read = 0;
    }

    /// Takes bytes of the stream and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLong> {
        let mut searched = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let (mut complete, mut start) = (Vec::new(), 0);
        while let Some(length) = self.partial[searched..].iter().position(|b| *b == b'\n') {
            let line = &self.partial[self.read..searched + length];
            searched += length + 1;
            self.read = searched;
            if line.is_empty() || line == b"\r" {
                self.complete_event(start, &mut complete);
                start = self.read;
            }
        }
        self.partial.drain(..start);
        self.read -= start;
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(complete)
    }

    /// Adds the event that ends where was read to the complete ones, unless it was passed on before.
    fn complete_event(&mut self, start: usize, complete: &mut Vec<u8>) {
        let event = &self.partial[start..self.read];
        let id = event.split(|b| *b == b'\n').find_map(self.read_id);
        let seen = matches!((id, self.last_id), (Some(id), Some(last_id)) if id <= last_id);
        if !seen {
            complete.extend_from_slice(event);
            self.last_id = id.or(self.last_id);
        }
    }
}
