//! Shows events and the time line.

use std::{
    io::Write,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cuminward_core::id;
use cuminward_operator::proto;
use tokio_stream::{StreamExt, StreamMap};

use crate::{
    cli::{Format, Global, Timeline},
    command::read,
    connect,
    error::Error,
    output, timeline, trace, view,
};

/// Bits of a hybrid logical time below its milliseconds.
const COUNTER_BITS: u32 = 16;

/// Shows the events that are held, or follows new ones.
pub async fn run(
    global: &Global,
    follow: bool,
    request: id::Request,
    out: &mut impl Write,
) -> Result<(), Error> {
    if follow {
        return self::follow(global, request, out).await;
    }
    let format = match global.output {
        Format::Table => Timeline::Text,
        Format::Json | Format::Yaml => Timeline::Json,
    };
    timeline(global, &self::request(request, None), format, out).await
}

/// Makes the request of a time line that ends now.
pub fn request(request: id::Request, last_seconds: Option<u64>) -> proto::TimelineRequest {
    let since = |seconds| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let from = now.saturating_sub(Duration::from_secs(seconds));
        (from.as_millis() as u64) << COUNTER_BITS
    };
    let from_hlc = last_seconds.map_or(0, since);
    proto::TimelineRequest { from_hlc, request, ..Default::default() }
}

/// Merges the events that all endpoints hold.
pub async fn timeline(
    global: &Global,
    request: &proto::TimelineRequest,
    format: Timeline,
    out: &mut impl Write,
) -> Result<(), Error> {
    let (answers, failures) = read::split(connect::open(global)?.timeline(request).await);
    let lists = answers
        .into_iter()
        .map(|(_, it)| it.events.into_iter().map(view::event).collect::<Vec<_>>());
    let events = timeline::merge(lists);
    match format {
        Timeline::Text => {
            for event in &events {
                output::line(out, timeline::line(event))?;
            }
        }
        Timeline::Json => output::value(out, Format::Json, &events)?,
        Timeline::Trace => output::value(out, Format::Json, &trace::make(&events))?,
    }
    read::all_answered(failures)
}

async fn follow(global: &Global, request: id::Request, out: &mut impl Write) -> Result<(), Error> {
    let request = proto::FollowEventsRequest { request, from_hlc: 0 };
    let (answers, failures) = read::split(connect::open(global)?.follow(&request).await);
    read::all_answered(failures)?;
    let mut streams: StreamMap<_, _> = answers.into_iter().collect();
    while let Some((endpoint, item)) = streams.next().await {
        let event = item.map_err(|status| Error::Nodes(vec![(endpoint, status.into())]))?;
        write(global.output, &view::event(event), out)?;
    }
    Ok(())
}

fn write(format: Format, event: &view::Event, out: &mut impl Write) -> Result<(), Error> {
    match format {
        Format::Table => output::line(out, timeline::line(event)),
        Format::Json | Format::Yaml => {
            let line = serde_json::to_string(event).expect("events have string keys only");
            output::line(out, line)
        }
    }
}
