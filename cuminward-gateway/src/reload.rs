//! Reloads the settings on SIGHUP and when the file changes.

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

/// Interval at which the file is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Installs the signal handler and returns a future that reloads the settings until it is dropped.
///
/// # Errors
///
/// Fails if the signal handler can't be installed.
pub(crate) fn run(state: Arc<State>, path: PathBuf) -> io::Result<impl Future<Output = ()>> {
    let hangup = unix::signal(SignalKind::hangup())?;
    Ok(watch(state, path, hangup))
}

/// Reloads the settings on each signal, and on changes at each interval.
async fn watch(state: Arc<State>, path: PathBuf, mut hangup: Signal) {
    let mut refused = None;
    loop {
        let is_signal = time::timeout(POLL_INTERVAL, hangup.recv()).await.is_ok();
        reload_if_changed(&state, &path, is_signal, &mut refused);
    }
}

/// Applies the settings if they are valid and differ from the current ones. An error is logged once, or
/// again on each signal.
fn reload_if_changed(state: &State, path: &Path, is_signal: bool, refused: &mut Option<String>) {
    match settings::load(path) {
        Ok(settings) if settings == **state.current_settings() => {
            *refused = None;
            if is_signal {
                state.events.emit(Kind::SettingsReloaded { change: String::from("same") });
            }
        }
        Ok(settings) => {
            *refused = None;
            let change = if settings.has_same_identity(&state.settings) { "new" } else { "place" };
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
