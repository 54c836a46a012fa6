//! Validates a settings file and collects all invalid values with their positions.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use serde_saphyr::Spanned;

use crate::settings::{self, file};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Minimum length of the shared secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// One hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// Minimum retention of the log, in milliseconds.
const MIN_RETENTION_MS: u64 = HOUR_MS;

/// Maximum retention of the log, in milliseconds: a year.
const MAX_RETENTION_MS: u64 = 365 * 24 * HOUR_MS;

/// Maximum value of `body_bytes`.
const MAX_BODY_BYTES: u64 = 256 * 1024 * 1024;

/// An invalid value of a settings file.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Fault {
    /// Byte offset of the value.
    pub(super) offset: usize,
    /// Length of the value, in bytes.
    pub(super) length: usize,
    /// What was expected.
    pub(super) expected: String,
}

/// Validates values and collects the faults.
#[derive(Debug, Default)]
struct Check {
    faults: Vec<Fault>,
}

/// Validates a parsed file.
///
/// # Errors
///
/// All invalid values of the file.
pub(super) fn run(file: &file::File) -> Result<settings::Settings, Vec<Fault>> {
    let mut check = Check::default();
    let settings = check.settings(file);
    if check.faults.is_empty() { Ok(settings) } else { Err(check.faults) }
}

impl Check {
    fn settings(&mut self, file: &file::File) -> settings::Settings {
        let settings = settings::Settings {
            node: self.name(&file.node.name),
            domain: self.name(&file.node.domain),
            listen: self.listen(&file.listen),
            platform: self.platform(&file.platform),
            secret: self.secret(&file.secret),
            operators: file.operators.iter().map(|it| self.operator(it)).collect(),
            limits: self.limits(&file.limits),
            routing: self.routing(&file.routing),
            timing: self.timing(&file.timing),
        };
        self.relations(file, &settings);
        settings
    }

    fn listen(&mut self, listen: &file::Listen) -> settings::Listen {
        settings::Listen {
            callers: self.address(&listen.callers),
            operators: self.address(&listen.operators),
            peers: self.address(&listen.peers),
        }
    }

    fn platform(&mut self, platform: &file::Platform) -> settings::Platform {
        settings::Platform {
            log: self.address(&platform.log).to_string(),
            hosts: self.address(&platform.hosts).to_string(),
            weights: self.address(&platform.weights).to_string(),
            retention: self.retention(&platform.retention_ms),
        }
    }

    fn retention(&mut self, value: &Option<Spanned<u64>>) -> Duration {
        let default = settings::DEFAULT_RETENTION.as_millis() as u64;
        let range = MIN_RETENTION_MS..=MAX_RETENTION_MS;
        Duration::from_millis(self.number(value, default, range))
    }

    fn secret(&mut self, secret: &Spanned<file::Secret>) -> settings::Secret {
        let found = match (&secret.value.file, &secret.value.env) {
            (Some(path), None) => {
                std::fs::read_to_string(path).map_err(|it| format!("a readable file: {it}"))
            }
            (None, Some(name)) => {
                std::env::var(name).map_err(|_| format!("the environment variable {name}"))
            }
            _ => Err("exactly one of `file` and `env`".to_owned()),
        };
        let text = found.unwrap_or_else(|expected| {
            self.fault(secret, expected);
            "x".repeat(MIN_SECRET_BYTES)
        });
        let text = text.trim();
        if text.len() < MIN_SECRET_BYTES {
            self.fault(secret, format!("a secret of at least {MIN_SECRET_BYTES} bytes"));
        }
        settings::Secret::new(text)
    }

    fn operator(&mut self, operator: &file::Operator) -> settings::Operator {
        let hash = &operator.token_hash;
        let valid = hash.value.len() == 64 && hash.value.bytes().all(|it| it.is_ascii_hexdigit());
        if !valid {
            self.fault(hash, "a BLAKE3 hash: 64 hexadecimal digits (see `cuminctl key hash`)");
        }
        settings::Operator {
            name: self.name(&operator.name),
            token_hash: hash.value.to_ascii_lowercase(),
            role: operator.role,
        }
    }

    fn limits(&mut self, limits: &file::Limits) -> settings::Limits {
        let default = settings::Limits::default();
        let body_bytes =
            self.number(&limits.body_bytes, default.body_bytes as u64, 1_024..=MAX_BODY_BYTES);
        settings::Limits {
            body_bytes: body_bytes as usize,
            body_timeout: self.time(&limits.body_timeout_ms, default.body_timeout, 100),
            token_timeout: self.time(&limits.token_timeout_ms, default.token_timeout, 100),
            queue_timeout: self.time(&limits.queue_timeout_ms, default.queue_timeout, 1),
            shutdown_grace: self.time(&limits.shutdown_grace_ms, default.shutdown_grace, 0),
        }
    }

    fn routing(&mut self, routing: &file::Routing) -> settings::Routing {
        let default = settings::Routing::default();
        settings::Routing {
            remote: routing.remote.unwrap_or(default.remote),
            spill: self.time(&routing.spill_ms, default.spill, 0),
        }
    }

    fn timing(&mut self, timing: &file::Timing) -> settings::Timing {
        let default = settings::Timing::default();
        settings::Timing {
            probe: self.time(&timing.probe_ms, default.probe, 10),
            freshness: self.time(&timing.freshness_ms, default.freshness, 20),
            listing: self.time(&timing.listing_ms, default.listing, 10),
            lease: self.time(&timing.lease_ms, default.lease, 100),
        }
    }

    /// Validates values that depend on each other.
    fn relations(&mut self, file: &file::File, settings: &settings::Settings) {
        if let Some(freshness) = &file.timing.freshness_ms
            && settings.timing.freshness < settings.timing.probe * 2
        {
            self.fault(freshness, "at least twice `probe_ms`");
        }
        let listen = &settings.listen;
        if listen.callers == listen.operators && listen.callers.port() != 0 {
            self.fault(&file.listen.operators, "an address other than `callers`");
        }
        if [listen.callers, listen.operators].contains(&listen.peers) && listen.peers.port() != 0 {
            self.fault(&file.listen.peers, "an address of its own");
        }
    }

    fn name(&mut self, name: &Spanned<String>) -> String {
        let plain = |it: u8| it.is_ascii_alphanumeric() || b"-_.".contains(&it);
        let length = name.value.len();
        if length == 0 || MAX_NAME_BYTES < length || !name.value.bytes().all(plain) {
            let expected = "1 to 64 letters, digits, `-`, `_` or `.`";
            self.fault(name, expected);
        }
        name.value.clone()
    }

    fn address(&mut self, address: &Spanned<String>) -> SocketAddr {
        address.value.parse().unwrap_or_else(|_| {
            self.fault(address, "an IP address and a port, for example 127.0.0.1:8080");
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }

    fn time(&mut self, value: &Option<Spanned<u64>>, default: Duration, min_ms: u64) -> Duration {
        let default = default.as_millis() as u64;
        Duration::from_millis(self.number(value, default, min_ms..=HOUR_MS))
    }

    fn number(
        &mut self,
        value: &Option<Spanned<u64>>,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let Some(number) = value else {
            return default;
        };
        if !range.contains(&number.value) {
            self.fault(number, format!("a number from {} to {}", range.start(), range.end()));
        }
        number.value
    }

    fn fault<T>(&mut self, value: &Spanned<T>, expected: impl Into<String>) {
        let span = value.referenced.span();
        self.faults.push(Fault {
            offset: span.byte_offset().unwrap_or(span.offset()) as usize,
            length: span.byte_len().unwrap_or(span.len()) as usize,
            expected: expected.into(),
        });
    }
}
