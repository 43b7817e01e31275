//! Fetches the newest configuration that controllers report.

use std::net::SocketAddr;
use std::sync::Arc;

use event_listener::Event as Signal;
use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_diff::Diff;
use snipemast_net::exec::pause;
use snipemast_net::{BootClock, RpcClient};
use snipemast_registry::fetch::{FetchAnswer, Fetched, Fetcher, NextRequest, FETCH_TIMEOUT, PATH};

/// The pause after a controller didn't answer.
const RETRY_PAUSE: Span = Span::from_millis(50);

/// The configuration that a process has, as its operator wrote it.
#[derive(Debug, Clone, Default)]
pub struct Text {
    /// Its version; 0 if there is none.
    pub version: Version,
    /// The text.
    pub bytes: Arc<Vec<u8>>,
}

/// How a configuration arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source {
    /// The controller that sent the last piece.
    pub controller: SocketAddr,
    /// The number of bytes that were sent.
    pub size: Size,
    /// Whether only the changes since the earlier configuration were sent.
    pub is_change: bool,
}

/// Fetches the newest configuration on a connection of its own, so that polls don't wait for it.
#[derive(Debug)]
pub struct ConfigurationFeed {
    clock: BootClock,
    journal: Journal,
    fetcher: Mutex<Fetcher>,
    text: Mutex<Text>,
    reported: Signal,
}

impl ConfigurationFeed {
    /// Creates a feed that has no configuration and knows no controller.
    pub fn new(journal: Journal) -> Self {
        Self {
            clock: BootClock::new(),
            journal,
            fetcher: Mutex::new(Fetcher::new(rand::random())),
            text: Mutex::default(),
            reported: Signal::new(),
        }
    }

    /// Records the version that a controller reports, and whether it is in the own availability zone.
    pub fn record_version(&self, controller: SocketAddr, version: Version, same_zone: bool) {
        let mut fetcher = self.fetcher.lock();
        fetcher.record_version(controller, version, same_zone);
        if fetcher.lags(self.text.lock().version) {
            self.reported.notify(usize::MAX);
        }
    }

    /// Forgets the controllers for which `keep` doesn't hold.
    pub fn retain_sources(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.fetcher.lock().retain_sources(keep);
    }

    /// Waits for a configuration that is newer than the one before.
    pub async fn next(&self) -> (Text, Source) {
        let mut client: Option<RpcClient> = None;
        loop {
            let reported = self.reported.listen();
            let have = self.text.lock().version;
            let next = self.fetcher.lock().next_request(self.clock.now(), have);
            let Some(NextRequest {
                controller,
                request,
            }) = next
            else {
                client = None;
                reported.await;
                continue;
            };
            let connected = client.take().filter(|c| c.address() == controller);
            let connected = connected.unwrap_or_else(|| RpcClient::new(controller));
            let answer = connected
                .call::<_, FetchAnswer>(PATH, &request, FETCH_TIMEOUT)
                .await;
            let now = self.clock.now();
            match answer {
                Ok(answer) => {
                    client = Some(connected);
                    let fetched = self.fetcher.lock().receive(now, controller, answer, have);
                    if let Some(new) = fetched.and_then(|f| self.apply(controller, f)) {
                        return new;
                    }
                }
                Err(report) => {
                    let detail = format!("{}, {} bytes so far", report, request.offset);
                    self.journal
                        .record(Event::DocumentFetchFailed, controller, detail);
                    self.fetcher.lock().record_failure(now, controller);
                    pause(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Applies fetched changes. If they don't fit, the whole configuration is fetched next.
    fn apply(&self, controller: SocketAddr, fetched: Fetched) -> Option<(Text, Source)> {
        let Fetched { transfer, changes } = fetched;
        let mut text = self.text.lock();
        let is_change = transfer.from > Version(0);
        let base = if is_change {
            Arc::clone(&text.bytes)
        } else {
            Arc::default()
        };
        match apply_all(&base, &changes) {
            Ok(bytes) => {
                *text = Text {
                    version: transfer.to,
                    bytes: Arc::new(bytes),
                };
                let source = Source {
                    controller,
                    size: Size::from_bytes(transfer.content.length),
                    is_change,
                };
                Some((text.clone(), source))
            }
            Err(error) => {
                self.journal
                    .record(Event::DocumentFetchFailed, controller, error);
                *text = Text::default();
                None
            }
        }
    }
}

/// Applies changes one after another.
fn apply_all(base: &[u8], changes: &[Diff]) -> snipemast_diff::Result<Vec<u8>> {
    let mut text: Option<Vec<u8>> = None;
    for change in changes {
        text = Some(change.apply(text.as_deref().unwrap_or(base))?);
    }
    Ok(text.unwrap_or_else(|| base.to_vec()))
}
