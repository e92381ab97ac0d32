//! Entry's side of the exchange with the control replicas, through which all news come.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use papayatray_core::clock::Millis;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::Cursor;
use papayatray_wire::peer::GatewayVersions;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::SyncReply;
use papayatray_wire::peer::SyncRequest;
use smol::Timer;
use smol::future::FutureExt;

use super::state::Gateway;
use crate::observe::Level;
use crate::observe::event;
use crate::peer::Peers;

/// Time within which a control replica must answer; it may hold the answer for a while.
const LIMIT: Millis = Millis::new(1_200);
/// First pause after a failed call; doubles with each further one.
const PAUSE_FIRST: Millis = Millis::new(100);
/// Longest pause between two calls.
const PAUSE_MOST: Millis = Millis::new(1_000);

/// Keeps an entry up to date with every control replica.
#[derive(Debug)]
pub(super) struct Agent {
    gateway: Arc<Gateway>,
    peers: Arc<Peers>,
    known: Mutex<BTreeSet<String>>,
}

/// What one control replica has told.
#[derive(Debug, Default)]
struct Contact {
    cursor: Cursor,
    /// Number of the last note on kept prefixes that has been heard from it.
    heard: u64,
    /// Number of the last note on kept prefixes that it has been told.
    told: u64,
    is_reached: bool,
    pause: Millis,
}

impl Agent {
    pub(super) fn new(gateway: Arc<Gateway>, peers: Arc<Peers>) -> Self {
        Self {
            gateway,
            peers,
            known: Mutex::default(),
        }
    }

    /// Starts to ask the control replicas at these addresses, where it does not yet.
    pub(super) fn learn(self: &Arc<Self>, controls: &[String]) {
        for address in controls {
            if self.known().insert(address.clone()) {
                event(Level::Info, "control_known", &[("address", address)]);
                let asking = Arc::clone(self).ask(address.clone());
                self.gateway.tasks.spawn(asking);
            }
        }
    }

    fn known(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn ask(self: Arc<Self>, address: String) {
        let mut contact = Contact {
            pause: PAUSE_FIRST,
            ..Contact::default()
        };
        loop {
            let asked = self.gateway.clock.now();
            let request = self.request(&address, &contact);
            let news = self.gateway.news.listen();
            let call = async {
                let synced =
                    self.peers
                        .call::<_, SyncReply>(&address, Method::Sync, &request, LIMIT);
                Some(synced.await)
            };
            let changed = async {
                news.await;
                None
            };
            match call.or(changed).await {
                Some(Ok(synced)) => {
                    contact.told = request.warm.upto;
                    self.take(&address, &mut contact, synced, asked);
                    contact.note_reached(&address);
                }
                Some(Err(error)) => {
                    contact.note_lost(&address, &error);
                    Timer::after(contact.pause.to_duration()).await;
                    contact.pause = Millis::new(contact.pause.as_u64() * 2).min(PAUSE_MOST);
                }
                None => {}
            }
        }
    }

    fn request(&self, address: &str, contact: &Contact) -> SyncRequest {
        let gateway = &self.gateway;
        let (loads, warm) = {
            let fleet = gateway.fleet();
            (fleet.loads(), fleet.warm_since(contact.told))
        };
        SyncRequest {
            info: gateway.info(),
            seen: GatewayVersions {
                plan: gateway
                    .table()
                    .map_or_else(Default::default, |table| table.version()),
                news: contact.cursor,
                entries: gateway.entries_version(address),
                rollouts: gateway.rollouts().changes(),
                warm: contact.heard,
            },
            tallies: gateway.tallies(),
            loads,
            suspects: gateway.suspects(),
            warm,
        }
    }

    fn take(
        self: &Arc<Self>,
        address: &str,
        contact: &mut Contact,
        synced: SyncReply,
        asked: Millis,
    ) {
        if contact.cursor.incarnation != synced.news.upto.incarnation {
            contact.heard = 0;
        }
        contact.cursor = synced.news.upto;
        if let Some(warm) = &synced.warm {
            contact.heard = warm.upto;
        }
        let controls = synced.controls.clone();
        self.gateway.take_synced(address, synced, asked);
        self.learn(&controls);
    }
}

impl Contact {
    fn note_reached(&mut self, address: &str) {
        self.pause = PAUSE_FIRST;
        if !self.is_reached {
            self.is_reached = true;
            event(Level::Info, "control_reached", &[("address", &address)]);
        }
    }

    fn note_lost(&mut self, address: &str, error: &CallError) {
        if self.is_reached {
            self.is_reached = false;
            event(
                Level::Warn,
                "control_lost",
                &[("address", &address), ("error", error)],
            );
        }
    }
}
