//! In-memory store of the most recent spans of this process.
//!
//! [`Span`] here is the stored form of a span that has ended.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

#[cfg(feature = "traces")]
use fastrace::collector::Config;
#[cfg(feature = "traces")]
use fastrace::collector::Reporter;
#[cfg(feature = "traces")]
use fastrace::collector::SpanRecord;
use papayatray_core::id::VmId;
use papayatray_wire::peer::Span;

/// Maximum number of spans in the store; the oldest are removed first.
#[cfg(feature = "traces")]
const MAX_SPANS: usize = 4_096;

/// Store of the most recent ended spans of this process; clones share it.
#[derive(Clone, Debug)]
pub struct Traces {
    #[cfg_attr(
        not(feature = "traces"),
        expect(dead_code, reason = "used only to label spans")
    )]
    vm: VmId,
    spans: Arc<Mutex<VecDeque<Span>>>,
}

impl Traces {
    /// Creates an empty store; the spans are labelled with `vm`.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            spans: Arc::default(),
        }
    }

    /// Returns the stored spans of a trace; `trace` is its id, as 32 hexadecimal digits.
    pub fn find(&self, trace: &str) -> Vec<Span> {
        let spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans
            .iter()
            .filter(|span| span.trace == trace)
            .cloned()
            .collect()
    }

    #[cfg(feature = "traces")]
    fn to_span(&self, record: SpanRecord) -> Span {
        let pairs = record.properties.into_iter();
        Span {
            trace: format!("{:032x}", record.trace_id.0),
            span: format!("{:016x}", record.span_id.0),
            parent: format!("{:016x}", record.parent_id.0),
            vm: self.vm.clone(),
            name: record.name.into_owned(),
            begin: record.begin_time_unix_ns / 1_000,
            length: record.duration_ns / 1_000,
            attributes: pairs
                .map(|(k, v)| (k.into_owned(), v.into_owned()))
                .collect(),
        }
    }
}

#[cfg(feature = "traces")]
impl Reporter for Traces {
    fn report(&mut self, records: Vec<SpanRecord>) {
        let new_spans: Vec<Span> = records
            .into_iter()
            .map(|record| self.to_span(record))
            .collect();
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans.extend(new_spans);
        let excess = spans.len().saturating_sub(MAX_SPANS);
        spans.drain(..excess);
    }
}

/// Makes the process record its spans in `traces`.
#[cfg(feature = "traces")]
pub fn set_up_traces(traces: &Traces) {
    fastrace::set_reporter(traces.clone(), Config::default());
}

/// Does nothing, as the process was built without traces.
#[cfg(not(feature = "traces"))]
pub const fn set_up_traces(_traces: &Traces) {}
