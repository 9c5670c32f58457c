//! The form in which a process stores its recent events of discovery for the other processes of its proxy.
//!
//! A file that is damaged, foreign or of a newer version is rejected with an error and never used.
use crate::ledger::{seal, unseal};
use threadward_core::event_sharing::{Announcement, Purge, ServerChange, SharedEvent};
use threadward_core::{Lifecycle, Micros, UnixTime};

/// An event of discovery as it is stored. The names of the fields are part of the format.
#[derive(serde::Serialize, serde::Deserialize)]
struct StoredEvent {
    sequence: u64,
    received_at: Micros,
    announcement: StoredAnnouncement,
}

/// What a stored event announces. Times are in microseconds of Unix time.
#[derive(serde::Serialize, serde::Deserialize)]
enum StoredAnnouncement {
    Ready { id: String, started_at: u64 },
    Draining { id: String, started_at: u64 },
    Gone { id: String, started_at: u64 },
    Purge { object: Option<u64>, group: u16, issued: u64 },
}

impl StoredEvent {
    fn from_event(event: &SharedEvent) -> StoredEvent {
        let announcement = match event.announcement.clone() {
            Announcement::Server(ServerChange { id, state, started_at }) => {
                let started_at = started_at.micros();
                match state {
                    Lifecycle::Ready => StoredAnnouncement::Ready { id, started_at },
                    Lifecycle::Draining => StoredAnnouncement::Draining { id, started_at },
                    Lifecycle::Gone => StoredAnnouncement::Gone { id, started_at },
                }
            }
            Announcement::Purge(Purge { object, group, issued }) => {
                StoredAnnouncement::Purge { object, group, issued: issued.micros() }
            }
        };
        StoredEvent { sequence: event.sequence, received_at: event.received_at, announcement }
    }

    fn into_event(self) -> SharedEvent {
        let server = |id, state, started_at| {
            let started_at = UnixTime::from_micros(started_at);
            Announcement::Server(ServerChange { id, state, started_at })
        };
        let announcement = match self.announcement {
            StoredAnnouncement::Ready { id, started_at } => server(id, Lifecycle::Ready, started_at),
            StoredAnnouncement::Draining { id, started_at } => server(id, Lifecycle::Draining, started_at),
            StoredAnnouncement::Gone { id, started_at } => server(id, Lifecycle::Gone, started_at),
            StoredAnnouncement::Purge { object, group, issued } => {
                Announcement::Purge(Purge { object, group, issued: UnixTime::from_micros(issued) })
            }
        };
        SharedEvent { sequence: self.sequence, received_at: self.received_at, announcement }
    }
}

/// Returns the text by which a process shares its recent events of discovery.
pub fn format_events<'a>(events: impl Iterator<Item = &'a SharedEvent>) -> String {
    let stored: Vec<StoredEvent> = events.map(StoredEvent::from_event).collect();
    seal("events", &format!("{}\n", serde_json::json!(stored)))
}

/// Parses the recent events of discovery of another process.
///
/// # Errors
/// Why they can't be used.
pub fn parse_events(text: &str) -> Result<Vec<SharedEvent>, String> {
    let stored: Vec<StoredEvent> =
        serde_json::from_str(unseal("events", text)?).map_err(|e| e.to_string())?;
    Ok(stored.into_iter().map(StoredEvent::into_event).collect())
}
