//! Trace spans; without the feature `traces` they are empty and cost nothing.

#[cfg(feature = "traces")]
use fastrace::collector::SpanContext;

/// Trace span that lasts until it is dropped.
#[derive(Debug, Default)]
pub struct Span {
    #[cfg(feature = "traces")]
    inner: fastrace::Span,
}

/// Starts the root span of a request; `parent` is its caller's `traceparent`.
///
/// A trace that the caller sampled is always recorded. Of the others, `permille` in a thousand are;
/// the random number `draw` decides which.
#[cfg(feature = "traces")]
pub fn begin_trace(name: &'static str, parent: Option<&str>, draw: u64, permille: u32) -> Span {
    let caller_context = parent.and_then(SpanContext::decode_w3c_traceparent);
    let context = caller_context.unwrap_or_else(SpanContext::random);
    let is_sampled =
        caller_context.is_some_and(|c| c.sampled) || draw % 1_000 < u64::from(permille);
    let inner = if is_sampled {
        fastrace::Span::root(name, context.sampled(true))
    } else {
        fastrace::Span::noop()
    };
    Span { inner }
}

/// Returns an empty span, as the process was built without traces.
#[cfg(not(feature = "traces"))]
pub fn begin_trace(_name: &'static str, _parent: Option<&str>, _draw: u64, _permille: u32) -> Span {
    Span::default()
}

#[cfg(feature = "traces")]
impl Span {
    /// Starts a child span.
    #[must_use]
    pub fn child(&self, name: &'static str) -> Self {
        Self {
            inner: fastrace::Span::enter_with_parent(name, &self.inner),
        }
    }

    /// Adds an attribute; `value` is only called if the request is traced.
    pub fn add<F>(&self, key: &'static str, value: F)
    where
        F: FnOnce() -> String,
    {
        self.inner.add_property(|| (key, value()));
    }

    /// Returns the `traceparent` header for the next hop, if the request is traced.
    pub fn traceparent(&self) -> Option<String> {
        SpanContext::from_span(&self.inner).map(|context| context.encode_w3c_traceparent())
    }
}

#[cfg(not(feature = "traces"))]
impl Span {
    /// Returns an empty span.
    #[must_use]
    pub fn child(&self, _name: &'static str) -> Self {
        Self::default()
    }

    /// Does nothing; `value` is not called.
    pub fn add<F>(&self, _key: &'static str, _value: F)
    where
        F: FnOnce() -> String,
    {
    }

    /// Returns `None`, as no request is traced.
    pub const fn traceparent(&self) -> Option<String> {
        None
    }
}
