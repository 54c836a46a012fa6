//! Reads the settings again on SIGHUP, and when the file has changed without a signal.

use std::{
    io,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use cuminward_event::kind::Kind;
use tokio::{
    signal::unix::{self, Signal, SignalKind},
    time,
};

use crate::{settings, state::State};

/// Interval at which the file is looked at.
const INTERVAL: Duration = Duration::from_secs(2);

/// Starts to listen for the signal. The result reads the settings until the task is dropped.
///
/// # Errors
///
/// The signal can't be handled.
pub(crate) fn run(state: Arc<State>, path: PathBuf) -> io::Result<impl Future<Output = ()>> {
    let hangup = unix::signal(SignalKind::hangup())?;
    Ok(watch(state, path, hangup))
}

async fn watch(state: Arc<State>, path: PathBuf, mut hangup: Signal) {
    let mut refused = None;
    loop {
        let is_signal = time::timeout(INTERVAL, hangup.recv()).await.is_ok();
        read(&state, &path, is_signal, &mut refused);
    }
}

/// Takes the settings if they are correct and new. Wrong ones are logged once.
fn read(state: &State, path: &Path, is_signal: bool, refused: &mut Option<String>) {
    match settings::load(path) {
        Ok(settings) if settings == **state.current_settings() => {
            *refused = None;
            if is_signal {
                state.events.emit(Kind::SettingsReloaded { change: String::from("same") });
            }
        }
        Ok(settings) => {
            *refused = None;
            let change = if settings.has_same_place(&state.settings) { "new" } else { "place" };
            state.reload(settings);
            state.events.emit(Kind::SettingsReloaded { change: change.to_owned() });
        }
        Err(error) => {
            let error = error.to_string();
            if is_signal || refused.as_ref() != Some(&error) {
                state.events.emit(Kind::SettingsRefused { reason: error.clone() });
            }
            *refused = Some(error);
        }
    }
}
