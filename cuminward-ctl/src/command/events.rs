//! `events` and `timeline`: print the events of nodes.

use std::{
    io::Write,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cuminward_core::id;
use cuminward_operator::proto;
use tokio_stream::{StreamExt, StreamMap};

use crate::{
    cli::{Format, Global, TimelineFormat},
    command::read,
    connect,
    error::Error,
    output, timeline, trace, view,
};

/// Number of low bits of a hybrid logical time that hold its counter; the milliseconds are above them.
const COUNTER_BITS: u32 = 16;

/// Prints the retained events of all endpoints, or follows new ones.
///
/// # Errors
///
/// Fails if an endpoint doesn't answer, a followed stream fails, or the output can't be written.
pub async fn run(
    global: &Global,
    follow: bool,
    request: id::Request,
    out: &mut impl Write,
) -> Result<(), Error> {
    if follow {
        return follow_events(global, request, out).await;
    }
    let format = match global.output {
        Format::Table => TimelineFormat::Text,
        Format::Json | Format::Yaml => TimelineFormat::Json,
    };
    print_timeline(global, &timeline_request(request, None), format, out).await
}

/// Builds the request for a time line of the last `last_seconds` seconds, or of all retained events.
pub fn timeline_request(request: id::Request, last_seconds: Option<u64>) -> proto::TimelineRequest {
    let start_hlc = |seconds| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let from = now.saturating_sub(Duration::from_secs(seconds));
        (from.as_millis() as u64) << COUNTER_BITS
    };
    let from_hlc = last_seconds.map_or(0, start_hlc);
    proto::TimelineRequest { from_hlc, request, ..Default::default() }
}

/// Merges the retained events of all endpoints and prints them in the given format.
///
/// # Errors
///
/// Fails if an endpoint doesn't answer, after printing the events of the others, or if the output can't
/// be written.
pub async fn print_timeline(
    global: &Global,
    request: &proto::TimelineRequest,
    format: TimelineFormat,
    out: &mut impl Write,
) -> Result<(), Error> {
    let (answers, failures) = read::split(connect::open(global)?.timeline(request).await);
    let lists = answers
        .into_iter()
        .map(|(_, it)| it.events.into_iter().map(view::decode_event).collect::<Vec<_>>());
    let events = timeline::merge(lists);
    match format {
        TimelineFormat::Text => {
            for event in &events {
                output::write_line(out, timeline::format_line(event))?;
            }
        }
        TimelineFormat::Json => output::write_value(out, Format::Json, &events)?,
        TimelineFormat::Trace => output::write_value(out, Format::Json, &trace::build(&events))?,
    }
    read::ensure_all_answered(failures)
}

/// Prints new events of all endpoints until every stream ends.
async fn follow_events(
    global: &Global,
    request: id::Request,
    out: &mut impl Write,
) -> Result<(), Error> {
    let request = proto::FollowEventsRequest { request, from_hlc: 0 };
    let (answers, failures) = read::split(connect::open(global)?.follow(&request).await);
    read::ensure_all_answered(failures)?;
    let mut streams: StreamMap<_, _> = answers.into_iter().collect();
    while let Some((endpoint, item)) = streams.next().await {
        let event = item.map_err(|status| Error::Nodes(vec![(endpoint, status.into())]))?;
        write_event(global.output, &view::decode_event(event), out)?;
    }
    Ok(())
}

/// Writes an event as a line of text or of JSON.
fn write_event(format: Format, event: &view::Event, out: &mut impl Write) -> Result<(), Error> {
    match format {
        Format::Table => output::write_line(out, timeline::format_line(event)),
        Format::Json | Format::Yaml => {
            let line = serde_json::to_string(event).expect("an event has only string keys");
            output::write_line(out, line)
        }
    }
}
