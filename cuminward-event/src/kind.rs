//! The catalogue of events.

use std::fmt;

use cuminward_core::{hlc, id};
use cuminward_derive::record;
use log::Level;

use crate::field::Field;

/// Number of a kind of event.
pub type Number = u16;

/// What the catalogue says about a kind of event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entry {
    /// Number, which never changes.
    pub number: Number,
    /// Name, which never changes.
    pub name: &'static str,
    /// Level in the log.
    pub level: Level,
    /// What the event says.
    pub description: &'static str,
    /// Fields in order.
    pub fields: &'static [FieldEntry],
}

/// What the catalogue says about a field.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FieldEntry {
    /// Name.
    pub name: &'static str,
    /// Type: `number` or `text`.
    pub kind: &'static str,
    /// Meaning and unit.
    pub description: &'static str,
}

/// Makes the enum of kinds and its catalogue from one list.
macro_rules! kinds {
    ($(
        #[doc = $description:literal]
        $number:literal $level:ident $name:literal $variant:ident {
            $( #[doc = $about:literal] $field:ident: $type:ty, )*
        }
    )*) => {
        /// An event with its fields.
        #[record]
        #[serde(tag = "event", rename_all = "kebab-case")]
        pub enum Kind {
            $(
                #[doc = $description]
                #[serde(rename = $name)]
                $variant { $( #[doc = $about] $field: $type, )* },
            )*
        }

        /// All kinds of events, in the order of their numbers.
        pub const ENTRIES: &[Entry] = &[$(
            Entry {
                number: $number,
                name: $name,
                level: Level::$level,
                description: $description.trim_ascii(),
                fields: &[$( FieldEntry {
                    name: stringify!($field),
                    kind: <$type as Field>::TYPE,
                    description: $about.trim_ascii(),
                }, )*],
            },
        )*];

        /// Index of each kind in [`ENTRIES`].
        #[derive(Clone, Copy)]
        enum Index { $( $variant, )* }

        /// Access
        impl Kind {
            /// Index of the kind in [`ENTRIES`].
            pub(crate) fn index(&self) -> usize {
                match self {
                    $( Kind::$variant { .. } => Index::$variant as usize, )*
                }
            }

            /// Writes the fields as ` name=value`.
            fn write_fields(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                match self {
                    $( Kind::$variant { $( $field, )* } => {
                        $(
                            f.write_str(concat!(" ", stringify!($field), "="))?;
                            Field::write($field, f)?;
                        )*
                    } )*
                }
                Ok(())
            }

            /// Shortens the texts of the fields to their largest length.
            pub(crate) fn bound(&mut self) {
                match self {
                    $( Kind::$variant { $( $field, )* } => { $( Field::bound($field); )* } )*
                }
            }
        }
    };
}

kinds! {
    /// The process started.
    1001 Info "node-started" NodeStarted {
        /// Version of the program.
        version: String,
        /// Tells this start of the node from others.
        incarnation: id::Incarnation,
    }
    /// The node is ready for requests.
    1002 Info "node-ready" NodeReady {
        /// Revision of the configuration in force.
        revision: id::Revision,
        /// Milliseconds since the start.
        after_ms: u64,
    }
    /// The node takes no new requests and finishes those it has.
    1003 Info "node-draining" NodeDraining {
        /// Requests in flight.
        in_flight: u64,
    }
    /// The node stopped.
    1004 Info "node-stopped" NodeStopped {
        /// Requests that were still in flight.
        in_flight: u64,
        /// Milliseconds since draining began.
        after_ms: u64,
    }
    /// Settings were read.
    1005 Info "settings-loaded" SettingsLoaded {
        /// File of the settings.
        file: String,
    }
    /// Certificates were read again and are in use.
    1006 Info "certificates-replaced" CertificatesReplaced {
        /// File of the certificates.
        file: String,
    }
    /// A change of configuration is in force at this node.
    1101 Info "config-accepted" ConfigAccepted {
        /// Id of the change.
        change: id::Change,
        /// Revision of the change.
        revision: id::Revision,
        /// Operator who asked.
        operator: String,
        /// What changed.
        action: String,
    }
    /// A change of configuration was read back and is not in force.
    1102 Warn "config-rejected" ConfigRejected {
        /// Id of the change.
        change: id::Change,
        /// Revision at which it was rejected.
        revision: id::Revision,
        /// Operator who asked.
        operator: String,
        /// Why.
        reason: String,
    }
    /// A snapshot of the configuration stands in the log.
    1103 Info "config-snapshot-written" ConfigSnapshotWritten {
        /// Revision of the snapshot.
        revision: id::Revision,
        /// Offset of its record.
        offset: id::Offset,
        /// Size in bytes.
        bytes: u64,
    }
    /// The configuration was taken from a snapshot.
    1104 Info "config-restored" ConfigRestored {
        /// Revision of the snapshot.
        revision: id::Revision,
        /// Where it came from: `log` or the name of a node.
        source: String,
    }
    /// A record of an unknown kind was kept without being applied.
    1105 Warn "config-record-unknown" ConfigRecordUnknown {
        /// Offset of the record.
        offset: id::Offset,
        /// Kind of the record.
        kind: String,
    }
    /// The platform's log doesn't answer.
    1201 Warn "log-away" LogUnavailable {
        /// Stream that was used.
        stream: String,
        /// Cause.
        message: String,
    }
    /// The platform's log answers again.
    1202 Info "log-back" LogRecovered {
        /// Stream that was used.
        stream: String,
        /// Milliseconds without an answer.
        after_ms: u64,
    }
    /// The platform's host list doesn't answer.
    1203 Warn "host-list-away" HostListUnavailable {
        /// Cause.
        message: String,
    }
    /// The platform's host list answers again.
    1204 Info "host-list-back" HostListRecovered {
        /// Milliseconds without an answer.
        after_ms: u64,
    }
    /// A host didn't answer a probe.
    1301 Warn "host-probe-failed" HostProbeFailed {
        /// The host.
        host: id::Host,
        /// Cause.
        message: String,
    }
    /// A host answers again.
    1302 Info "host-recovered" HostRecovered {
        /// The host.
        host: id::Host,
        /// Incarnation that answered.
        incarnation: id::Incarnation,
    }
    /// A host started anew.
    1303 Warn "host-restarted" HostRestarted {
        /// The host.
        host: id::Host,
        /// Its new incarnation.
        incarnation: id::Incarnation,
    }
    /// A replica may be routed to.
    1311 Info "replica-routable" ReplicaRoutable {
        /// Group that forms the replica.
        group: id::Group,
        /// Formation of the group.
        generation: id::Generation,
        /// Service that it serves.
        service: id::Service,
    }
    /// A replica may no longer be routed to.
    1312 Warn "replica-unroutable" ReplicaUnroutable {
        /// Group that forms the replica.
        group: id::Group,
        /// Formation of the group.
        generation: id::Generation,
        /// Service that it served.
        service: id::Service,
        /// Why.
        reason: String,
    }
    /// No byte arrived on a connection in time, and it was dropped.
    1321 Warn "connection-silent" ConnectionTimedOut {
        /// Address of the other end.
        address: String,
        /// Milliseconds without a byte.
        after_ms: u64,
    }
    /// An upstream receives less work because it is slower or fails more than others.
    1322 Warn "upstream-ejected" UpstreamEjected {
        /// The upstream.
        upstream: String,
        /// Why.
        reason: String,
    }
    /// An ejected upstream receives work again.
    1323 Info "upstream-restored" UpstreamRestored {
        /// The upstream.
        upstream: String,
    }
    /// This node became steward of its failure domain.
    1401 Info "steward-claimed" StewardClaimed {
        /// The failure domain.
        domain: id::Domain,
        /// Fencing number of the claim.
        fence: id::Fence,
    }
    /// The steward's lease was renewed.
    1402 Debug "steward-renewed" StewardRenewed {
        /// The failure domain.
        domain: id::Domain,
        /// Fencing number of the claim.
        fence: id::Fence,
    }
    /// The steward gave its lease up.
    1403 Info "steward-resigned" StewardResigned {
        /// The failure domain.
        domain: id::Domain,
        /// Fencing number of the claim.
        fence: id::Fence,
    }
    /// Another node's claim took the place of this node's.
    1404 Warn "steward-superseded" StewardSuperseded {
        /// The failure domain.
        domain: id::Domain,
        /// Fencing number of the earlier claim.
        fence: id::Fence,
        /// Node with the later claim.
        by: id::Node,
        /// Fencing number of the later claim.
        by_fence: id::Fence,
    }
    /// An order is on its way to a host.
    1411 Info "order-sent" OrderSent {
        /// The host.
        host: id::Host,
        /// `form`, `release` or `fence`.
        action: String,
        /// Group of the order.
        group: id::Group,
        /// Formation of the group.
        generation: id::Generation,
        /// Fencing number of the order.
        fence: id::Fence,
    }
    /// A host carried an order out.
    1412 Info "order-accepted" OrderAccepted {
        /// The host.
        host: id::Host,
        /// `form`, `release` or `fence`.
        action: String,
        /// Group of the order.
        group: id::Group,
        /// Formation of the group.
        generation: id::Generation,
    }
    /// A host refused an order and did nothing.
    1413 Warn "order-refused" OrderRefused {
        /// The host.
        host: id::Host,
        /// `form`, `release` or `fence`.
        action: String,
        /// Group of the order.
        group: id::Group,
        /// Formation of the group.
        generation: id::Generation,
        /// Code of the refusal.
        reason: String,
    }
    /// The answer to an order was lost; the host is asked for its state.
    1414 Warn "order-unknown" OrderUnknown {
        /// The host.
        host: id::Host,
        /// `form`, `release` or `fence`.
        action: String,
        /// Group of the order.
        group: id::Group,
        /// Formation of the group.
        generation: id::Generation,
        /// Cause.
        message: String,
    }
    /// A caller's request was accepted.
    1501 Debug "request-admitted" RequestAdmitted {
        /// The caller's team.
        team: id::Team,
        /// Service that was asked for.
        service: id::Service,
    }
    /// A request is on its way to an upstream.
    1502 Debug "request-routed" RequestRouted {
        /// Group or host.
        upstream: String,
        /// Failure domain of the upstream.
        domain: id::Domain,
        /// Number of the attempt, from 1.
        attempt: u64,
    }
    /// The first token of a reply arrived.
    1503 Debug "request-first-token" RequestFirstToken {
        /// Milliseconds since the request was accepted.
        after_ms: u64,
    }
    /// A broken stream goes on at a token.
    1504 Info "request-resumed" RequestResumed {
        /// Group that goes on.
        upstream: String,
        /// Index of the next token.
        token: u64,
        /// Why the stream broke.
        reason: String,
    }
    /// The caller received the whole reply.
    1505 Debug "request-completed" RequestCompleted {
        /// Tokens of the reply; 0 for plain services.
        tokens: u64,
        /// Milliseconds since the request was accepted.
        after_ms: u64,
    }
    /// A request was refused and did not run.
    1506 Info "request-refused" RequestRefused {
        /// Cause, as in the answer.
        cause: String,
        /// Explanation.
        message: String,
    }
    /// A request failed after it may have run.
    1507 Warn "request-unknown" RequestUnknown {
        /// Cause, as in the answer.
        cause: String,
        /// Explanation.
        message: String,
    }
    /// A request that did not run, or is idempotent, is tried again.
    1508 Info "request-retried" RequestRetried {
        /// Number of the attempt that failed, from 1.
        attempt: u64,
        /// Why it failed.
        reason: String,
    }
    /// The caller left before the end of the reply.
    1509 Debug "request-cancelled" RequestCancelled {
        /// Tokens passed on before.
        tokens: u64,
    }
    /// A caller could not prove who it is or may not use the service.
    1511 Warn "caller-refused" CallerRefused {
        /// Address of the caller.
        address: String,
        /// Why.
        reason: String,
    }
    /// An operator's call was refused.
    1512 Warn "operator-refused" OperatorRefused {
        /// The operator, as far as known.
        operator: String,
        /// Name of the call.
        call: String,
        /// Why.
        reason: String,
    }
    /// Another node gives out the slots of an upstream.
    1601 Info "admission-owner-changed" AdmissionOwnerChanged {
        /// The upstream.
        upstream: String,
        /// The new owner.
        owner: id::Node,
    }
    /// An upstream's limit starts low and rises.
    1602 Info "ramp-started" RampStarted {
        /// The upstream.
        upstream: String,
        /// Its incarnation.
        incarnation: id::Incarnation,
        /// Slots at the start.
        slots: u64,
    }
    /// An idempotency key was recorded as started by this node.
    1701 Debug "key-started" KeyStarted {
        /// Hash of the key.
        key: String,
        /// Offset of the record.
        offset: id::Offset,
    }
    /// A request came with a key that was started before.
    1702 Info "key-repeated" KeyRepeated {
        /// Hash of the key.
        key: String,
        /// Node that started it.
        by: id::Node,
    }
    /// A request was refused for its key and did not run.
    1703 Warn "key-refused" KeyRefused {
        /// Hash of the key.
        key: String,
        /// Why.
        reason: String,
    }
    /// A request was in flight at an upstream that crashed.
    1711 Warn "request-suspected" RequestSuspected {
        /// Fingerprint of the request.
        fingerprint: String,
        /// The upstream.
        upstream: String,
    }
    /// A request crashed upstreams repeatedly and is refused from now on.
    1712 Error "request-quarantined" RequestQuarantined {
        /// Fingerprint of the request.
        fingerprint: String,
        /// Crashes.
        crashes: u64,
    }
    /// Another node doesn't answer.
    1801 Warn "peer-lost" PeerUnreachable {
        /// The node.
        peer: id::Node,
        /// Cause.
        message: String,
    }
    /// Another node answers.
    1802 Info "peer-found" PeerReachable {
        /// The node.
        peer: id::Node,
        /// Its incarnation.
        incarnation: id::Incarnation,
    }
    /// A malformed or oversized message was refused and its connection closed.
    1803 Warn "frame-refused" FrameRefused {
        /// Address of the sender.
        address: String,
        /// Why.
        reason: String,
    }
    /// A connection was refused because its other end could not prove that it is a node.
    1804 Warn "peer-refused" PeerRefused {
        /// Address of the other end.
        address: String,
        /// Why.
        reason: String,
    }
    /// What is known about a failure domain is fresh again.
    1811 Info "domain-trusted" DomainStateFresh {
        /// The failure domain.
        domain: id::Domain,
    }
    /// What is known about a failure domain is too old, and it receives no new work from here.
    1812 Warn "domain-untrusted" DomainStateStale {
        /// The failure domain.
        domain: id::Domain,
        /// Milliseconds since the last fresh contact.
        age_ms: u64,
    }
    /// A failure domain that operators took out receives no new work from here.
    1813 Info "domain-taken-out" DomainTakenOut {
        /// The failure domain.
        domain: id::Domain,
        /// Revision of the change.
        revision: id::Revision,
    }
    /// A failure domain that operators brought back receives work again.
    1814 Info "domain-brought-back" DomainBroughtBack {
        /// The failure domain.
        domain: id::Domain,
        /// Revision of the change.
        revision: id::Revision,
    }
    /// Log lines were dropped because standard output took none.
    2001 Warn "lines-dropped" LinesDropped {
        /// Lines that were dropped.
        count: u64,
    }
    /// Settings were read again.
    2002 Info "settings-reloaded" SettingsReloaded {
        /// Whether anything is new: `new`, `same`, or `place` if addresses wait for the next start.
        change: String,
    }
    /// Settings that were read again are wrong; the former ones hold.
    2003 Error "settings-refused" SettingsRefused {
        /// What is wrong.
        reason: String,
    }
    /// The platform's store can't be used for a purpose.
    2101 Warn "store-lost" StoreUnavailable {
        /// What it was used for.
        purpose: String,
        /// Why.
        cause: String,
    }
    /// The platform's store can be used again.
    2102 Info "store-regained" StoreRecovered {
        /// What it is used for.
        purpose: String,
        /// Milliseconds without it.
        outage_ms: u64,
    }
    /// A new catalog is in force.
    2103 Info "catalog-in-force" CatalogApplied {
        /// Version.
        version: u64,
        /// Routes.
        routes: u64,
        /// Offset of its record in the store.
        offset: u64,
    }
    /// A declared catalog can't be read; the former one holds.
    2104 Error "catalog-unreadable" CatalogInvalid {
        /// Offset of its record in the store.
        offset: u64,
        /// Why.
        cause: String,
    }
    /// A failure domain gets no work, or gets work again.
    2105 Info "domain-switched" DomainTrafficSwitched {
        /// The failure domain.
        domain: String,
        /// Whether it was taken out or brought back: `out` or `in`.
        state: String,
    }
    /// A host left the list of hosts.
    2106 Info "host-unlisted" HostRemoved {
        /// The host.
        host: String,
    }
    /// The entry of a host can't be used.
    2107 Warn "host-unreadable" HostEntryInvalid {
        /// The host.
        host: String,
        /// Why.
        cause: String,
    }
    /// The store divided the stewards' duties anew.
    2201 Info "duties-divided" PartitionsAssigned {
        /// Duties of this node.
        parts: String,
        /// Fencing token.
        token: u64,
    }
    /// This node became the steward of a service.
    2202 Info "steward-began" StewardElected {
        /// The service.
        service: String,
        /// Fencing token.
        token: u64,
    }
    /// What came of an order to a host.
    2203 Info "order-settled" OrderCompleted {
        /// The host.
        host: String,
        /// The order.
        order: String,
        /// Fencing token.
        token: u64,
        /// What came of it.
        outcome: String,
    }
    /// The groups of a service changed, as its steward sees them.
    2204 Info "groups-changed" GroupsChanged {
        /// The service.
        service: String,
        /// For each model: open groups, groups that are formed, wanted groups, free hosts.
        levels: String,
    }
    /// A replica with requests yielded nothing for a while.
    2301 Info "replica-silent" ReplicaStalled {
        /// The replica.
        replica: String,
        /// Milliseconds without progress.
        silence_ms: u64,
        /// Slowest pace that a member reported, in hundredths of the usual one; 0 if none did.
        pace: u64,
        /// What follows: `kept`, `given-up` or `lost`.
        verdict: String,
    }
    /// A host doesn't answer.
    2302 Warn "host-lost" HostUnreachable {
        /// The host.
        host: String,
        /// Replica whose member it is; empty if it is in none.
        replica: String,
        /// Why.
        cause: String,
    }
    /// Another node said that hosts don't answer; replicas with them are asked.
    2303 Info "loss-heard" LossReported {
        /// The node.
        from: String,
        /// The hosts.
        hosts: String,
    }
    /// A host crashed while it ran a request.
    2304 Warn "host-crashed" HostCrashed {
        /// Address of the host.
        address: String,
        /// Fingerprint of the request.
        fingerprint: u64,
    }
    /// Newer knowledge was fetched from another node.
    2305 Info "knowledge-fetched" StateFetched {
        /// Address of the node.
        address: String,
        /// Declarations.
        declarations: u64,
        /// Entries of the list of hosts.
        hosts: u64,
    }
    /// A host that was lost answers.
    2306 Info "host-found" HostReachable {
        /// The host.
        host: String,
    }
    /// A host became slow, or is no longer.
    2307 Info "pace-changed" SlowdownChanged {
        /// The host.
        host: String,
        /// Its pace, in hundredths of the usual one.
        pace: u64,
    }
    /// An upstream was chosen for a request.
    2401 Info "upstream-chosen" UpstreamChosen {
        /// Route.
        route: String,
        /// Version of the catalog.
        version: u64,
        /// Upstream.
        upstream: String,
        /// Requests in flight there from this node.
        own: u64,
        /// Requests in flight there from all nodes.
        load: u64,
        /// Milliseconds that the request waited for it.
        waited_ms: u64,
        /// Milliseconds left until the deadline.
        left_ms: u64,
    }
    /// An attempt brought no answer.
    2402 Warn "attempt-failed" AttemptFailed {
        /// Upstream.
        upstream: String,
        /// What is known about its execution: `not-run` or `unknown`.
        failure: String,
        /// Why.
        cause: String,
        /// Last event that the caller got; 0 if none.
        last_event: u64,
        /// What follows: `again`, `refuse` or `fail`.
        next: String,
    }
    /// A request was answered.
    2403 Info "request-finished" RequestFinished {
        /// Route.
        route: String,
        /// Status.
        status: u64,
        /// Attempts.
        attempts: u64,
        /// Milliseconds to the first part of the answer.
        first_ms: u64,
        /// Milliseconds to its end.
        total_ms: u64,
    }
    /// A request was refused or failed by the node.
    2404 Warn "request-rejected" RequestRejected {
        /// Route, if one was found.
        route: String,
        /// Status.
        status: u64,
        /// Why.
        cause: String,
        /// Attempts.
        attempts: u64,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    }
    /// A stream broke off before its end.
    2405 Warn "stream-broken" StreamBroken {
        /// Route.
        route: String,
        /// Why.
        cause: String,
        /// Last event that the caller got; 0 if none.
        last_event: u64,
        /// Attempts.
        attempts: u64,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    }
    /// A request wasn't admitted.
    2406 Info "request-denied" RequestDenied {
        /// Status.
        status: u64,
        /// Milliseconds after which the caller may come again; 0 if that wouldn't help.
        retry_ms: u64,
        /// Why.
        cause: String,
    }
}

/// Access
impl Kind {
    /// What the catalogue says about the event.
    pub fn entry(&self) -> &'static Entry {
        &ENTRIES[self.index()]
    }

    /// Number of the event.
    pub fn number(&self) -> Number {
        self.entry().number
    }

    /// Name of the event.
    pub fn name(&self) -> &'static str {
        self.entry().name
    }

    /// Level of the event in the log.
    pub fn level(&self) -> Level {
        self.entry().level
    }
}

impl fmt::Display for Kind {
    /// Writes the event as `[E1001] node-started version=0.1.0 incarnation=7`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = self.entry();
        write!(f, "[E{}] {}", entry.number, entry.name)?;
        self.write_fields(f)
    }
}

/// Index of an event within its node; later events have larger ones.
pub type Seq = u64;

/// Hybrid logical time of an event.
pub type Stamp = hlc::Stamp;
