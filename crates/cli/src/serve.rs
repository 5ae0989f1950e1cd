//! Implements the commands `serve` and `platform`, which run a dispatcher and set up its log.

use crate::error::Error;
use clap::ValueEnum;
use corkspan_config::Deployment;
use corkspan_dispatcher::config_stream::ACTIVE_VERSION_NUMBER;
use std::io::Write;
use std::path::{Path, PathBuf};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::format::{Writer, format};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt as _;

/// The format of the log.
#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum LogFormat {
    Text,
    Json,
}

/// Runs a dispatcher on `corkspan.v1` until it receives a stop signal.
pub(crate) fn serve(file: PathBuf, log: LogFormat, level: tracing::Level) -> Result<(), Error> {
    let deployment = Deployment::load(&file)?;
    // A full log disk must not end the dispatcher. The subscriber would report a line that it could
    // not write, and the failure of that report would end the process.
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr);
    let subscriber = subscriber.log_internal_errors(false);
    match log {
        LogFormat::Text => subscriber
            .event_format(Versioned {
                inner: format(),
                json: false,
            })
            .init(),
        LogFormat::Json => subscriber
            .json()
            .event_format(Versioned {
                inner: format().json(),
                json: true,
            })
            .init(),
    }
    let ready = |address| {
        // With port 0 this line is the only source of the address. Write errors are ignored,
        // because nobody has to read it.
        let mut out = std::io::stdout();
        let _ = writeln!(out, "listening {address}").and_then(|()| out.flush());
    };
    Ok(corkspan_dispatcher::serve(deployment, ready)?)
}

/// Runs a dispatcher on the platform's protocol until SIGTERM.
pub(crate) fn platform(levels: Targets) -> Result<(), Error> {
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::TRACE)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    let subscriber = subscriber.log_internal_errors(false);
    subscriber.finish().with(levels).init();
    let file = std::env::var_os("NODE_CONFIG").ok_or(Error::NoNodeConfig)?;
    Ok(corkspan_platform::serve(Path::new(&file))?)
}

/// Formats log lines with a prefix: the number of the active version, by which the reported
/// decisions were made.
struct Versioned<F> {
    inner: F,
    json: bool,
}

impl<S, N, F> FormatEvent<S, N> for Versioned<F>
where
    S: tracing::Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
    F: FormatEvent<S, N>,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &tracing::Event<'_>,
    ) -> std::fmt::Result {
        let version = ACTIVE_VERSION_NUMBER.load(std::sync::atomic::Ordering::Relaxed);
        if !self.json {
            write!(writer, "v{version} ")?;
            return self.inner.format_event(context, writer, event);
        }
        let mut line = String::new();
        self.inner
            .format_event(context, Writer::new(&mut line), event)?;
        let rest = line.strip_prefix('{').unwrap_or(&line);
        write!(writer, "{{\"version\":{version},{rest}")
    }
}
