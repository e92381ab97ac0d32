//! Traces: the last spans of this process, by trace.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use fastrace::collector::Config;
use fastrace::collector::Reporter;
use fastrace::collector::SpanContext;
use fastrace::collector::SpanRecord;
use papayatray_core::id::VmId;
use papayatray_wire::peer::Span;

/// Spans that are remembered.
const SPANS: usize = 4_096;

/// Last spans of this process.
#[derive(Clone, Debug)]
pub struct Traces {
    vm: VmId,
    spans: Arc<Mutex<VecDeque<Span>>>,
}

impl Traces {
    /// Creates an empty memory of spans.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            spans: Arc::default(),
        }
    }

    /// Returns the remembered spans of a trace.
    pub fn find(&self, trace: &str) -> Vec<Span> {
        let spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans
            .iter()
            .filter(|span| span.trace == trace)
            .cloned()
            .collect()
    }

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

impl Reporter for Traces {
    fn report(&mut self, records: Vec<SpanRecord>) {
        let fresh: Vec<Span> = records
            .into_iter()
            .map(|record| self.to_span(record))
            .collect();
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans.extend(fresh);
        let excess = spans.len().saturating_sub(SPANS);
        spans.drain(..excess);
    }
}

/// Makes the process remember its spans.
pub fn set_up_traces(traces: &Traces) {
    fastrace::set_reporter(traces.clone(), Config::default());
}

/// Begins the span of a request from its caller's `traceparent` and a random number.
///
/// A caller's sampled trace is always followed; of the others, `permille` in a thousand are.
pub fn begin_trace(
    name: &'static str,
    parent: Option<&str>,
    draw: u64,
    permille: u32,
) -> fastrace::Span {
    let given = parent.and_then(SpanContext::decode_w3c_traceparent);
    let context = given.unwrap_or_else(SpanContext::random);
    let is_sampled = given.is_some_and(|c| c.sampled) || draw % 1_000 < u64::from(permille);
    if is_sampled {
        fastrace::Span::root(name, context.sampled(true))
    } else {
        fastrace::Span::noop()
    }
}
