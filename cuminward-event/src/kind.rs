//! Catalogue of events: the kinds with their numbers, names, levels and fields.

use std::fmt;

use cuminward_core::{hlc, id};
use cuminward_derive::record;
use log::Level;

use crate::field::Field;

/// Number of a kind of event.
pub type Number = u16;

/// Catalogue entry of a kind of event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entry {
    /// Number; never changes.
    pub number: Number,
    /// Name; never changes.
    pub name: &'static str,
    /// Level in the log.
    pub level: Level,
    /// Description of the event.
    pub description: &'static str,
    /// Fields, in the order in which they are written.
    pub fields: &'static [FieldEntry],
}

/// Catalogue entry of a field of an event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FieldEntry {
    /// Name.
    pub name: &'static str,
    /// Type: `number` or `text`.
    pub kind: &'static str,
    /// Meaning and unit.
    pub description: &'static str,
}

/// Generates [`Kind`] and its catalogue [`ENTRIES`] from one list.
macro_rules! kinds {
    ($(
        #[doc = $description:literal]
        $number:literal $level:ident $name:literal $variant:ident {
            $( #[doc = $meaning:literal] $field:ident: $type:ty, )*
        }
    )*) => {
        /// An event with its fields.
        #[record]
        #[serde(tag = "event", rename_all = "kebab-case")]
        pub enum Kind {
            $(
                #[doc = $description]
                #[serde(rename = $name)]
                $variant { $( #[doc = $meaning] $field: $type, )* },
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
                    description: $meaning.trim_ascii(),
                }, )*],
            },
        )*];

        /// Index of each kind in [`ENTRIES`].
        #[derive(Clone, Copy)]
        enum Index { $( $variant, )* }

        /// Access
        impl Kind {
            /// Returns the index of the kind in [`ENTRIES`].
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

            /// Truncates the text fields to the maximum length.
            pub(crate) fn truncate_texts(&mut self) {
                match self {
                    $( Kind::$variant { $( $field, )* } => { $( Field::truncate($field); )* } )*
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
        /// Incarnation of the node, which differs for each start of the process.
        incarnation: id::Incarnation,
    }
    /// The node is ready for requests.
    1002 Info "node-ready" NodeReady {
        /// Revision of the configuration in force.
        revision: id::Revision,
        /// Milliseconds since the start.
        after_ms: u64,
    }
    /// The node accepts no new requests and finishes those in flight.
    1003 Info "node-draining" NodeDraining {
        /// Requests in flight.
        in_flight: u64,
    }
    /// The node stopped.
    1004 Info "node-stopped" NodeStopped {
        /// Requests that were still in flight.
        in_flight: u64,
        /// Milliseconds since the start of draining.
        after_ms: u64,
    }
    /// The settings were loaded.
    1005 Info "settings-loaded" SettingsLoaded {
        /// Path of the settings file.
        file: String,
    }
    /// The certificates were reloaded and are in use.
    1006 Info "certificates-replaced" CertificatesReplaced {
        /// Path of the certificate file.
        file: String,
    }
    /// A configuration change was applied at this node.
    1101 Info "config-accepted" ConfigAccepted {
        /// Id of the change.
        change: id::Change,
        /// Revision of the change.
        revision: id::Revision,
        /// Operator who requested the change.
        operator: String,
        /// Description of the change.
        action: String,
    }
    /// A configuration change was read back from the log and rejected.
    1102 Warn "config-rejected" ConfigRejected {
        /// Id of the change.
        change: id::Change,
        /// Revision at which it was rejected.
        revision: id::Revision,
        /// Operator who requested the change.
        operator: String,
        /// Reason.
        reason: String,
    }
    /// A snapshot of the configuration was written to the log.
    1103 Info "config-snapshot-written" ConfigSnapshotWritten {
        /// Revision of the snapshot.
        revision: id::Revision,
        /// Offset of its record.
        offset: id::Offset,
        /// Size in bytes.
        bytes: u64,
    }
    /// The configuration was restored from a snapshot.
    1104 Info "config-restored" ConfigRestored {
        /// Revision of the snapshot.
        revision: id::Revision,
        /// Source of the snapshot: `log` or the name of a node.
        source: String,
    }
    /// A record of an unknown kind was kept but not applied.
    1105 Warn "config-record-unknown" ConfigRecordUnknown {
        /// Offset of the record.
        offset: id::Offset,
        /// Kind of the record.
        kind: String,
    }
    /// Access to the platform's log started to fail.
    1201 Warn "log-away" LogUnavailable {
        /// Stream that was accessed.
        stream: String,
        /// Error message.
        message: String,
    }
    /// The platform's log is available again.
    1202 Info "log-back" LogRecovered {
        /// Stream that was accessed.
        stream: String,
        /// Duration of the outage in milliseconds.
        after_ms: u64,
    }
    /// Reads of the platform's host list started to fail.
    1203 Warn "host-list-away" HostListUnavailable {
        /// Error message.
        message: String,
    }
    /// The platform's host list is available again.
    1204 Info "host-list-back" HostListRecovered {
        /// Duration of the outage in milliseconds.
        after_ms: u64,
    }
    /// A host did not respond to a probe.
    1301 Warn "host-probe-failed" HostProbeFailed {
        /// The host.
        host: id::Host,
        /// Error message.
        message: String,
    }
    /// A host responds to probes again.
    1302 Info "host-recovered" HostRecovered {
        /// The host.
        host: id::Host,
        /// Incarnation of the host.
        incarnation: id::Incarnation,
    }
    /// A host restarted.
    1303 Warn "host-restarted" HostRestarted {
        /// The host.
        host: id::Host,
        /// Its new incarnation.
        incarnation: id::Incarnation,
    }
    /// A replica became eligible for routing.
    1311 Info "replica-routable" ReplicaRoutable {
        /// Group that forms the replica.
        group: id::Group,
        /// Generation of the group; grows with each formation.
        generation: id::Generation,
        /// Service that it serves.
        service: id::Service,
    }
    /// A replica is no longer eligible for routing.
    1312 Warn "replica-unroutable" ReplicaUnroutable {
        /// Group that forms the replica.
        group: id::Group,
        /// Generation of the group; grows with each formation.
        generation: id::Generation,
        /// Service that it served.
        service: id::Service,
        /// Reason.
        reason: String,
    }
    /// A connection was closed because no data arrived in time.
    1321 Warn "connection-silent" ConnectionTimedOut {
        /// Address of the remote end.
        address: String,
        /// Milliseconds without data.
        after_ms: u64,
    }
    /// Outlier detection ejected an upstream that is slower or fails more often than others.
    1322 Warn "upstream-ejected" UpstreamEjected {
        /// The upstream.
        upstream: String,
        /// Reason.
        reason: String,
    }
    /// An upstream that outlier detection had ejected receives traffic again.
    1323 Info "upstream-restored" UpstreamRestored {
        /// The upstream.
        upstream: String,
    }
    /// This node became the steward of its failure domain, which forms and releases groups there.
    1401 Info "steward-claimed" StewardClaimed {
        /// The failure domain.
        domain: id::Domain,
        /// Fencing token of the claim.
        fence: id::Fence,
    }
    /// The steward's lease was renewed.
    1402 Debug "steward-renewed" StewardRenewed {
        /// The failure domain.
        domain: id::Domain,
        /// Fencing token of the claim.
        fence: id::Fence,
    }
    /// The steward's lease ended: it was resigned or not renewed.
    1403 Info "steward-resigned" StewardResigned {
        /// The failure domain.
        domain: id::Domain,
        /// Fencing token of the claim.
        fence: id::Fence,
    }
    /// The claim of another node superseded the claim of this node.
    1404 Warn "steward-superseded" StewardSuperseded {
        /// The failure domain.
        domain: id::Domain,
        /// Fencing token of the earlier claim.
        fence: id::Fence,
        /// Node with the later claim; empty if unknown.
        by: id::Node,
        /// Fencing token of the later claim; 0 if unknown.
        by_fence: id::Fence,
    }
    /// An order is being sent to a host.
    1411 Info "order-sent" OrderSent {
        /// The host.
        host: id::Host,
        /// `form`, `release` or `fence`.
        action: String,
        /// Group of the order.
        group: id::Group,
        /// Generation of the group; grows with each formation.
        generation: id::Generation,
        /// Fencing token of the order.
        fence: id::Fence,
    }
    /// A host accepted an order and executed it.
    1412 Info "order-accepted" OrderAccepted {
        /// The host.
        host: id::Host,
        /// `form`, `release` or `fence`.
        action: String,
        /// Group of the order.
        group: id::Group,
        /// Generation of the group; grows with each formation.
        generation: id::Generation,
    }
    /// A host refused an order, or could not be connected to; the order was not executed.
    1413 Warn "order-refused" OrderRefused {
        /// The host.
        host: id::Host,
        /// `form`, `release` or `fence`.
        action: String,
        /// Group of the order.
        group: id::Group,
        /// Generation of the group; grows with each formation.
        generation: id::Generation,
        /// Error code of the refusal, or the connection error.
        reason: String,
    }
    /// The response to an order was lost; the state of the host is queried.
    1414 Warn "order-unknown" OrderUnknown {
        /// The host.
        host: id::Host,
        /// `form`, `release` or `fence`.
        action: String,
        /// Group of the order.
        group: id::Group,
        /// Generation of the group; grows with each formation.
        generation: id::Generation,
        /// Error message.
        message: String,
    }
    /// A request of a caller was accepted.
    1501 Debug "request-admitted" RequestAdmitted {
        /// The caller's team.
        team: id::Team,
        /// Requested service.
        service: id::Service,
    }
    /// An attempt of a request at an upstream starts.
    1502 Debug "request-routed" RequestRouted {
        /// Group or host.
        upstream: String,
        /// Failure domain of the upstream.
        domain: id::Domain,
        /// Number of the attempt, starting at 1.
        attempt: u64,
    }
    /// The first token of a reply arrived.
    1503 Debug "request-first-token" RequestFirstToken {
        /// Milliseconds since the request was accepted.
        after_ms: u64,
    }
    /// An interrupted stream is resumed at a token.
    1504 Info "request-resumed" RequestResumed {
        /// Upstream whose stream was interrupted.
        upstream: String,
        /// Index of the next token.
        token: u64,
        /// Reason of the interruption.
        reason: String,
    }
    /// The caller received the complete reply.
    1505 Debug "request-completed" RequestCompleted {
        /// Number of tokens in the reply; 0 for plain services.
        tokens: u64,
        /// Milliseconds since the request was accepted.
        after_ms: u64,
    }
    /// A request was refused and did not run.
    1506 Info "request-refused" RequestRefused {
        /// Cause, as in the response.
        cause: String,
        /// Explanation.
        message: String,
    }
    /// A request failed and may have been executed.
    1507 Warn "request-unknown" RequestUnknown {
        /// Cause, as in the response.
        cause: String,
        /// Explanation.
        message: String,
    }
    /// A request that did not run, or is idempotent, is retried.
    1508 Info "request-retried" RequestRetried {
        /// Number of the attempt that failed, starting at 1.
        attempt: u64,
        /// Reason of the failure.
        reason: String,
    }
    /// The caller disconnected before the end of the reply.
    1509 Debug "request-cancelled" RequestCancelled {
        /// Number of tokens sent to the caller before.
        tokens: u64,
    }
    /// A caller failed authentication or is not authorized to use the service.
    1511 Warn "caller-refused" CallerRefused {
        /// Address of the caller.
        address: String,
        /// Reason.
        reason: String,
    }
    /// A call of an operator was refused.
    1512 Warn "operator-refused" OperatorRefused {
        /// The operator, if known.
        operator: String,
        /// Name of the call.
        call: String,
        /// Reason.
        reason: String,
    }
    /// Another node became the owner of an upstream, which grants its concurrency slots.
    1601 Info "admission-owner-changed" AdmissionOwnerChanged {
        /// The upstream.
        upstream: String,
        /// The new owner.
        owner: id::Node,
    }
    /// Slow start of an upstream: its concurrency limit starts low and is raised step by step.
    1602 Info "ramp-started" RampStarted {
        /// The upstream.
        upstream: String,
        /// Its incarnation.
        incarnation: id::Incarnation,
        /// Concurrency limit at the start.
        slots: u64,
    }
    /// An idempotency key was recorded as started by this node.
    1701 Debug "key-started" KeyStarted {
        /// Hash of the key.
        key: String,
        /// Offset of the record.
        offset: id::Offset,
    }
    /// A request used an idempotency key that was started before.
    1702 Info "key-repeated" KeyRepeated {
        /// Hash of the key.
        key: String,
        /// Node that started the key.
        by: id::Node,
    }
    /// A request was refused because of its idempotency key and did not run.
    1703 Warn "key-refused" KeyRefused {
        /// Hash of the key.
        key: String,
        /// Reason.
        reason: String,
    }
    /// A request was in flight at an upstream that crashed.
    1711 Warn "request-suspected" RequestSuspected {
        /// Fingerprint of the request.
        fingerprint: String,
        /// The upstream.
        upstream: String,
    }
    /// A request repeatedly crashed upstreams and is refused from now on.
    1712 Error "request-quarantined" RequestQuarantined {
        /// Fingerprint of the request.
        fingerprint: String,
        /// Number of crashes.
        crashes: u64,
    }
    /// Another node is unreachable.
    1801 Warn "peer-lost" PeerUnreachable {
        /// The node.
        peer: id::Node,
        /// Error message.
        message: String,
    }
    /// Another node is reachable.
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
        /// Reason.
        reason: String,
    }
    /// A connection was refused because the remote end could not authenticate as a node.
    1804 Warn "peer-refused" PeerRefused {
        /// Address of the remote end.
        address: String,
        /// Reason.
        reason: String,
    }
    /// The known state of a failure domain is up to date again.
    1811 Info "domain-trusted" DomainStateFresh {
        /// The failure domain.
        domain: id::Domain,
    }
    /// The known state of a failure domain is too old; this node sends no new work there.
    1812 Warn "domain-untrusted" DomainStateStale {
        /// The failure domain.
        domain: id::Domain,
        /// Milliseconds since the last up-to-date state.
        age_ms: u64,
    }
    /// Operators took a failure domain out of service; this node sends no new work there.
    1813 Info "domain-taken-out" DomainTakenOut {
        /// The failure domain.
        domain: id::Domain,
        /// Revision of the change.
        revision: id::Revision,
    }
    /// Operators brought a failure domain back into service; this node sends work there again.
    1814 Info "domain-brought-back" DomainBroughtBack {
        /// The failure domain.
        domain: id::Domain,
        /// Revision of the change.
        revision: id::Revision,
    }
    /// Log lines were dropped because standard output did not accept them in time.
    2001 Warn "lines-dropped" LinesDropped {
        /// Number of dropped lines.
        count: u64,
    }
    /// The settings were reloaded.
    2002 Info "settings-reloaded" SettingsReloaded {
        /// `new`, `same` if unchanged, `place` if changed addresses apply at the next start.
        change: String,
    }
    /// The reloaded settings are invalid; the previous ones stay in force.
    2003 Error "settings-refused" SettingsRefused {
        /// Error message.
        reason: String,
    }
    /// The platform's store became unavailable for a purpose.
    2101 Warn "store-lost" StoreUnavailable {
        /// What the store was used for.
        purpose: String,
        /// Error message.
        cause: String,
    }
    /// The platform's store is available again.
    2102 Info "store-regained" StoreRecovered {
        /// What the store is used for.
        purpose: String,
        /// Duration of the outage in milliseconds.
        outage_ms: u64,
    }
    /// A new catalog is in force.
    2103 Info "catalog-in-force" CatalogApplied {
        /// Version of the catalog.
        version: u64,
        /// Number of routes.
        routes: u64,
        /// Era of the store when the record was read.
        era: u64,
        /// Offset of the catalog's record in the store.
        offset: u64,
    }
    /// A declared catalog is invalid; the previous one stays in force.
    2104 Error "catalog-unreadable" CatalogInvalid {
        /// Era of the store when the record was read.
        era: u64,
        /// Offset of the catalog's record in the store.
        offset: u64,
        /// Error message.
        cause: String,
    }
    /// A failure domain was taken out of service or brought back.
    2105 Info "domain-switched" DomainTrafficSwitched {
        /// The failure domain.
        domain: String,
        /// `out` if the domain gets no work, `in` if it gets work again.
        state: String,
    }
    /// A host was removed from the host list.
    2106 Info "host-unlisted" HostRemoved {
        /// The host.
        host: String,
    }
    /// The entry of a host in the host list is invalid.
    2107 Warn "host-unreadable" HostEntryInvalid {
        /// The host.
        host: String,
        /// Error message.
        cause: String,
    }
    /// A new era of the store was noticed: the first one, or the store came back from an older copy.
    2108 Warn "store-era-began" StoreEraBegan {
        /// The era.
        era: u64,
        /// Era before; 0 at the node's start.
        previous: u64,
        /// Offset after the newest known declaration.
        declarations: u64,
        /// Offset after the newest known record of the host list.
        hosts: u64,
    }
    /// A declaration was read but not applied, as a newer record of its key is known.
    2109 Info "declaration-outdated" DeclarationOutdated {
        /// Key of the record.
        key: String,
        /// Era of the store when the record was read.
        era: u64,
        /// Offset of the record.
        offset: u64,
        /// Era of the known record.
        known_era: u64,
        /// Offset of the known record.
        known_offset: u64,
        /// Value of the record: `same` as the known one, or `other`.
        value: String,
    }
    /// The store assigned another set of steward partitions to this node.
    2201 Info "duties-divided" PartitionsAssigned {
        /// Partitions assigned to this node.
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
    /// The outcome of an order to a host is known.
    2203 Info "order-settled" OrderCompleted {
        /// The host.
        host: String,
        /// The order.
        order: String,
        /// Fencing token.
        token: u64,
        /// Outcome of the order.
        outcome: String,
    }
    /// The groups of a service changed, as observed by its steward.
    2204 Info "groups-changed" GroupsChanged {
        /// The service.
        service: String,
        /// For each model: open groups, groups being formed, wanted groups, free hosts.
        levels: String,
    }
    /// The shares of a service's hosts that its models should have changed, as the loads of their replicas differed.
    2205 Info "shares-changed" SharesChanged {
        /// The service.
        service: String,
        /// For each model: its share of the hosts, in percent.
        shares: String,
        /// For each model: requests in flight or waiting, and replicas that serve.
        loads: String,
    }
    /// A replica with requests in flight made no progress for a while.
    2301 Info "replica-silent" ReplicaStalled {
        /// The replica.
        replica: String,
        /// Milliseconds without progress.
        silence_ms: u64,
        /// Largest slowdown factor of a member, in hundredths (100 is normal); 0 if unknown.
        pace: u64,
        /// Result of the probes: `kept`, `given-up` or `lost`.
        verdict: String,
    }
    /// A host does not respond.
    2302 Warn "host-lost" HostUnreachable {
        /// The host.
        host: String,
        /// Replica of which the host is a member; empty if there is none.
        replica: String,
        /// Reason.
        cause: String,
        /// Whether another node has reported the host as lost within the last second: `reported` or `unreported`.
        others: String,
    }
    /// Another node reported hosts as lost; replicas with these hosts are probed.
    2303 Info "loss-heard" LossReported {
        /// The node that reported the loss.
        from: String,
        /// The hosts, separated by commas.
        hosts: String,
    }
    /// A host crashed while it ran a request.
    2304 Warn "host-crashed" HostCrashed {
        /// Address of the host.
        address: String,
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Ids of the parts of the prompt, in hexadecimal, separated by commas.
        parts: String,
        /// Number of events that the host had sent for the request.
        events: u64,
        /// Milliseconds from sending the request to the host until it was broken off.
        after_ms: u64,
    }
    /// Newer cluster state was fetched from another node.
    2305 Info "knowledge-fetched" StateFetched {
        /// Address of the node.
        address: String,
        /// Number of declarations.
        declarations: u64,
        /// Number of entries of the host list.
        hosts: u64,
    }
    /// A host that was lost responds again.
    2306 Info "host-found" HostReachable {
        /// The host.
        host: String,
    }
    /// A host became slow or returned to its normal speed.
    2307 Info "pace-changed" SlowdownChanged {
        /// The host.
        host: String,
        /// Slowdown factor of the host, in hundredths (100 is normal).
        pace: u64,
    }
    /// The node lost its own paths to hosts that other nodes reach; it connects through these now.
    2308 Warn "paths-lost" PathsLost {
        /// Number of hosts that this node didn't reach and others did.
        hosts: u64,
        /// Number of nodes that connect this one to hosts.
        relays: u64,
    }
    /// An own path to a host works again; the node connects over its own paths now.
    2309 Info "paths-regained" PathsRegained {
        /// Address of the host.
        address: String,
    }
    /// Datagrams of another node couldn't be decoded; reported once a minute for each sender.
    2310 Warn "digest-unreadable" DigestUnreadable {
        /// Address of the sender.
        from: String,
        /// Size of the datagram, in bytes.
        bytes: u64,
        /// Error message.
        cause: String,
        /// Number of such datagrams of the sender since the last report.
        count: u64,
    }
    /// Another node told of its build for the first time since its start.
    2311 Info "build-heard" BuildHeard {
        /// The node.
        from: String,
        /// Version of its build.
        build: String,
        /// Ids of the features of its build, separated by commas.
        features: String,
    }
    /// A host named a limit for the requests of all nodes together.
    2312 Info "limit-named" LimitNamed {
        /// The host.
        host: String,
        /// Requests per minute from all nodes together.
        rate: u64,
        /// This node's part of them.
        share: u64,
        /// How the node learnt of it: `response` of the host, or another `node`.
        source: String,
    }
    /// A host no longer names a limit.
    2313 Info "limit-ended" LimitEnded {
        /// The host.
        host: String,
        /// How the node learnt of it: `response` of the host, or another `node`.
        source: String,
    }
    /// A host said in a response that it is leaving; that start of it gets no new requests.
    2314 Info "host-leaving" HostLeaving {
        /// The host.
        host: String,
        /// Start of the host, in milliseconds since the Unix epoch.
        start: u64,
        /// How the node learnt of it: `response` of the host, or another `node`.
        source: String,
    }
    /// A host of which an earlier start was leaving has started again; it gets requests.
    2315 Info "host-returned" HostReturned {
        /// The host.
        host: String,
        /// Start of the host, in milliseconds since the Unix epoch.
        start: u64,
    }
    /// A host asked this node in a 503 response to send it nothing for a time.
    2316 Info "host-paused" HostPaused {
        /// The host.
        host: String,
        /// Start of the host, in milliseconds since the Unix epoch.
        start: u64,
        /// The time in milliseconds.
        pause_ms: u64,
    }
    /// A host sent a 503 response with a `Retry-After` that can't be read; written at most once a minute for each host.
    2317 Warn "pause-unreadable" PauseUnreadable {
        /// The host.
        host: String,
    }
    /// An upstream was chosen for a request; written for sampled requests only.
    2401 Info "upstream-chosen" UpstreamChosen {
        /// Name of the route.
        route: String,
        /// Version of the catalog.
        version: u64,
        /// Name of the upstream.
        upstream: String,
        /// Requests from this node in flight at the upstream.
        own: u64,
        /// Requests from all nodes in flight at the upstream.
        load: u64,
        /// Milliseconds that the request waited for an upstream.
        waited_ms: u64,
        /// Milliseconds until the deadline of the request.
        left_ms: u64,
    }
    /// An attempt of a request failed.
    2402 Warn "attempt-failed" AttemptFailed {
        /// Name of the upstream.
        upstream: String,
        /// Whether the request ran: `not-run` if it provably did not, otherwise `unknown`.
        failure: String,
        /// Reason.
        cause: String,
        /// Id of the last event sent to the caller; 0 if there was none.
        last_event: u64,
        /// Next step: `again` (retry), `return` (to a host that was left while it was silent), `refuse` or `fail`.
        next: String,
    }
    /// A request was answered; written if it was slow, needed several attempts or is sampled.
    2403 Info "request-finished" RequestFinished {
        /// Name of the route.
        route: String,
        /// HTTP status of the response.
        status: u64,
        /// Number of attempts.
        attempts: u64,
        /// Milliseconds from the arrival of the request to the first part of the response.
        first_ms: u64,
        /// Milliseconds from the arrival of the request to the end of the response.
        total_ms: u64,
    }
    /// An admitted request was refused or failed by the node.
    2404 Warn "request-rejected" RequestRejected {
        /// Name of the route, if one matched.
        route: String,
        /// HTTP status of the response.
        status: u64,
        /// Reason.
        cause: String,
        /// Number of attempts.
        attempts: u64,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    }
    /// A stream ended before it was complete.
    2405 Warn "stream-broken" StreamBroken {
        /// Name of the route.
        route: String,
        /// Reason.
        cause: String,
        /// Id of the last event sent to the caller; 0 if there was none.
        last_event: u64,
        /// Number of attempts.
        attempts: u64,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    }
    /// A request was not admitted.
    2406 Info "request-denied" RequestDenied {
        /// HTTP status of the response.
        status: u64,
        /// Milliseconds after which the caller may retry; 0 if a retry would not help.
        retry_ms: u64,
        /// Reason.
        cause: String,
    }
    /// An upstream ended a stream without an error; written if bytes followed, and if sampled.
    2407 Info "stream-ended" StreamEnded {
        /// Name of the upstream.
        upstream: String,
        /// How the end was marked: `length`, `chunked`, `http2` or `connection` (closed by the upstream).
        framing: String,
        /// Id of the last event sent to the caller; 0 if there was none.
        last_event: u64,
        /// Number of bytes that followed the last complete event.
        remainder: u64,
    }
    /// Requests with a subject are no longer sent to hosts, since hosts crashed while such requests began.
    2408 Error "quarantine-began" QuarantineBegan {
        /// `request:` and a fingerprint, or `part:` and the id of a part of the prompt.
        subject: String,
        /// What a request must have as well, as the crashes can't tell it apart; separated by commas.
        companions: String,
        /// Number of crashes.
        crashes: u64,
    }
    /// Requests with a subject are sent to hosts again.
    2409 Info "quarantine-ended" QuarantineEnded {
        /// What the requests have in common, as in `quarantine-began`.
        subject: String,
    }
    /// A caller's connection ended with a request in flight, or with received bytes that were not handled.
    2410 Info "caller-connection-cut" CallerConnectionCut {
        /// `idle`, `stopping`, `slow-head` or `response` if the node closed it, `caller` or `error`.
        reason: String,
        /// Error message; empty if there is none.
        cause: String,
        /// Requests in flight.
        in_flight: u64,
        /// Bytes that were received and not handled.
        bytes: u64,
        /// Milliseconds since the last request ended, or since the connection was accepted.
        unused_ms: u64,
    }
    /// Crashes for which requests are blamed were written to the store.
    2411 Info "crashes-stored" CrashesStored {
        /// Number of crashes, one for each subject.
        crashes: u64,
    }
    /// Crashes that were stored before the node's start were read.
    2412 Info "crashes-restored" CrashesRestored {
        /// Number of crashes that still count, one for each subject.
        crashes: u64,
        /// Number of crashes that no longer count.
        outdated: u64,
    }
    /// Memory for requests or connections of callers are short, so that some were turned away.
    2413 Warn "callers-crowded" CallersCrowded {
        /// What is short: `requests` or `connections`.
        what: String,
        /// Connections of callers.
        connections: u64,
        /// Largest number of connections.
        max_connections: u64,
        /// Bytes that requests take, with their heads and bodies.
        bytes: u64,
        /// Largest number of bytes.
        max_bytes: u64,
        /// Requests that were refused so far for want of memory.
        refused: u64,
        /// Connections that were closed to make room so far.
        evicted: u64,
    }
    /// A kept connection was closed without a response, most probably as its host had dropped it while it was idle.
    2414 Info "connection-stale" ConnectionStale {
        /// Name of the upstream.
        upstream: String,
        /// Milliseconds for which the connection had been idle.
        idle_ms: u64,
        /// Next step: `again` (the same request, to the same upstream on a new connection) or `fail` (of the attempt).
        next: String,
    }
}

/// Access
impl Kind {
    /// Returns the catalogue entry of the event.
    pub fn entry(&self) -> &'static Entry {
        &ENTRIES[self.index()]
    }

    /// Returns the number of the event.
    pub fn number(&self) -> Number {
        self.entry().number
    }

    /// Returns the name of the event.
    pub fn name(&self) -> &'static str {
        self.entry().name
    }

    /// Returns the log level of the event.
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

/// Sequence number of an event within its node; increases with each event.
pub type Seq = u64;

/// Hybrid logical timestamp of an event.
pub type Stamp = hlc::Stamp;
