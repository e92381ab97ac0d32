//! `StatsD` metrics: counters, gauges and timings.

use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use papayatray_core::clock::Millis;
use papayatray_core::id::VmId;

/// Prefix of every metric name.
const PREFIX: &str = "papayatray";

/// `StatsD` client of a process; every metric carries the VM's id as a tag.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates a client that sends to the `StatsD` collector at `address`.
    ///
    /// Without an address, everything is discarded.
    ///
    /// # Errors
    ///
    /// Returns the error if the socket cannot be opened.
    pub fn new(address: Option<SocketAddr>, vm: &VmId) -> Result<Self, cadence::MetricError> {
        let builder = match address {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(address) => {
                let local = if address.is_ipv4() {
                    "0.0.0.0:0"
                } else {
                    "[::]:0"
                };
                let socket = UdpSocket::bind(local)?;
                socket.set_nonblocking(true)?;
                StatsdClient::builder(PREFIX, UdpMetricSink::from(address, socket)?)
            }
        };
        let client = builder.with_tag("vm", vm.as_str()).build();
        Ok(Self { client })
    }

    /// Increments a counter. A metric that cannot be sent is lost, so that no request waits for it.
    pub fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &str, amount: u64) {
        let _ = self
            .client
            .count(name, i64::try_from(amount).unwrap_or(i64::MAX));
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, duration: Millis) {
        let _ = self.client.time(name, duration.as_u64());
    }
}
