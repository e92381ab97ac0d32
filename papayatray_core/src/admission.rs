//! Admission control of an endpoint pool: which requests run, wait or are shed.

use std::collections::VecDeque;

use crate::catalogue::Class;
use crate::clock::Millis;

/// Share of a pool's limit that trial requests leave free beyond the recent paying demand.
const PAYING_HEADROOM: f64 = 0.1;
/// Half-life of the recent paying demand.
const DEMAND_HALF_LIFE_MS: f64 = 10_000.0;
/// Queue capacity, as a multiple of the concurrency limit.
const QUEUE_FACTOR: f64 = 4.0;
/// Time in the queue after which a long job is no longer ranked behind the short ones of its class.
pub const LONG_JOB_MAX_DELAY: Millis = Millis::from_secs(20);
/// Weight of the newest service time in the moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Service time assumed before the first request has finished.
const INITIAL_SERVICE_TIME_MS: f64 = 500.0;
const MIN_RETRY_AFTER: Millis = Millis::new(250);
const MAX_RETRY_AFTER: Millis = Millis::from_secs(30);

/// Request for admission to a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Number of the request, unique within the gate.
    pub ticket: u64,
    /// Class of the organisation.
    pub class: Class,
    /// Whether the job is long, so that it may wait behind short ones.
    pub is_long: bool,
    /// Time by which the request must start.
    pub deadline: Millis,
}

/// Decision on an admission request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now.
    Run,
    /// The request is queued; [`Gate::next`] returns it when it may run.
    Wait,
    /// The request is shed; its caller may retry after this time.
    Shed(Millis),
}

/// Outcome for a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOutcome {
    /// The request with this ticket runs now.
    Run(u64),
    /// The request with this ticket is shed; its caller may retry after this time.
    Shed(u64, Millis),
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    request: AdmissionRequest,
    queued_at: Millis,
}

/// Admission gate of one pool: concurrency limit, priority queue and load shedding.
#[derive(Clone, Debug)]
pub struct Gate {
    limit: f64,
    running_paying: u32,
    running_trial: u32,
    queue: VecDeque<QueuedRequest>,
    /// Moving average of the service time.
    service_ms: f64,
    /// Recent peak of concurrent paying requests, as of `demand_updated_at`.
    paying_demand: f64,
    demand_updated_at: Millis,
}

impl Gate {
    /// Creates a gate that runs at most `limit` requests concurrently.
    pub fn new(limit: u32) -> Self {
        Self {
            limit: f64::from(limit.max(1)),
            running_paying: 0,
            running_trial: 0,
            queue: VecDeque::new(),
            service_ms: INITIAL_SERVICE_TIME_MS,
            paying_demand: 0.0,
            demand_updated_at: Millis::ZERO,
        }
    }

    /// Sets how many requests may run concurrently.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = f64::from(limit.max(1));
    }

    /// Returns the number of running requests.
    pub const fn running(&self) -> u32 {
        self.running_paying + self.running_trial
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Runs a request without queueing; returns false if the limit is reached or a request of the
    /// same or a higher class is queued.
    pub fn try_run(&mut self, class: Class, now: Millis) -> bool {
        let is_first = !self
            .queue
            .iter()
            .any(|w| w.request.class <= class && w.request.deadline > now);
        if !is_first || !self.may_run(class, now) {
            return false;
        }
        self.start(class, now);
        true
    }

    /// Runs, queues or sheds a request, by its priority and the gate's load.
    pub fn offer(&mut self, request: AdmissionRequest, now: Millis) -> Admission {
        let is_first = !self
            .queue
            .iter()
            .any(|w| queued_priority(w, now) <= request_priority(&request, now, now));
        if is_first && self.may_run(request.class, now) {
            self.start(request.class, now);
            return Admission::Run;
        }
        if self.would_miss_deadline(&request, now) {
            return Admission::Shed(self.retry_after());
        }
        if !self.make_queue_room(&request, now) {
            return Admission::Shed(self.retry_after());
        }
        self.queue.push_back(QueuedRequest {
            request,
            queued_at: now,
        });
        Admission::Wait
    }

    /// Ends a running request; `service_time` is absent if it was not served.
    pub fn finish(&mut self, class: Class, service_time: Option<Millis>) {
        let count = match class {
            Class::Paying => &mut self.running_paying,
            Class::Trial => &mut self.running_trial,
        };
        *count = count.saturating_sub(1);
        if let Some(service_time) = service_time {
            self.service_ms +=
                (service_time.as_u64() as f64 - self.service_ms) * SERVICE_TIME_WEIGHT;
        }
    }

    /// Removes a request from the queue, as when its caller disconnects; returns whether it was
    /// queued.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.request.ticket != ticket);
        self.queue.len() != before
    }

    /// Takes the next request that may run, or is past its deadline, from the queue.
    pub fn next(&mut self, now: Millis) -> Option<QueueOutcome> {
        let late = self.queue.iter().position(|w| now >= w.request.deadline);
        if let Some(waiting) = late.and_then(|index| self.queue.remove(index)) {
            return Some(QueueOutcome::Shed(
                waiting.request.ticket,
                self.retry_after(),
            ));
        }
        let best =
            (0..self.queue.len()).min_by_key(|index| queued_priority(&self.queue[*index], now))?;
        let class = self.queue[best].request.class;
        if !self.may_run(class, now) {
            return None;
        }
        let waiting = self.queue.remove(best)?;
        self.start(class, now);
        Some(QueueOutcome::Run(waiting.request.ticket))
    }

    /// Returns the time after which a shed caller may retry, from queue length and service time.
    pub fn retry_after(&self) -> Millis {
        let rounds = self.queue.len() as f64 / self.limit + 1.0;
        #[expect(clippy::cast_possible_truncation, reason = "clamped right after")]
        #[expect(clippy::cast_sign_loss, reason = "counts and times are not negative")]
        let wait = Millis::new((rounds * self.service_ms) as u64);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns whether another request of `class` may run now.
    fn may_run(&self, class: Class, now: Millis) -> bool {
        let running = f64::from(self.running());
        match class {
            Class::Paying => running < self.limit,
            Class::Trial => running < self.trial_limit(now),
        }
    }

    /// Returns the number of running requests below which a trial request may run.
    ///
    /// The recent concurrency of paying requests is reserved for them, with some headroom. Without
    /// recent paying requests, trial requests may use nearly the whole limit.
    fn trial_limit(&self, now: Millis) -> f64 {
        let unused = (self.paying_demand(now) - f64::from(self.running_paying)).max(0.0);
        let available = self.limit * (1.0 - PAYING_HEADROOM) - unused;
        if self.paying_demand(now) < 1.0 {
            available.max(1.0)
        } else {
            available
        }
    }

    /// Returns the recent peak of concurrent paying requests, decayed over time.
    fn paying_demand(&self, now: Millis) -> f64 {
        let elapsed = now.since(self.demand_updated_at).as_u64() as f64;
        self.paying_demand * 0.5_f64.powf(elapsed / DEMAND_HALF_LIFE_MS)
    }

    /// Counts a request of `class` as running.
    fn start(&mut self, class: Class, now: Millis) {
        match class {
            Class::Paying => {
                self.running_paying += 1;
                self.paying_demand = self.paying_demand(now).max(f64::from(self.running_paying));
                self.demand_updated_at = now;
            }
            Class::Trial => self.running_trial += 1,
        }
    }

    /// Returns whether the request would miss its deadline in the queue.
    fn would_miss_deadline(&self, request: &AdmissionRequest, now: Millis) -> bool {
        let own_priority = request_priority(request, now, now);
        let ahead = self
            .queue
            .iter()
            .filter(|w| queued_priority(w, now) <= own_priority)
            .count();
        let wait = (ahead as f64 + 1.0) / self.limit * self.service_ms;
        wait > request.deadline.since(now).as_u64() as f64
    }

    /// Returns whether the request may be queued; sheds another one for it if necessary.
    ///
    /// If the queue is full, a paying request takes the place of the newest trial request.
    fn make_queue_room(&mut self, request: &AdmissionRequest, now: Millis) -> bool {
        if (self.queue.len() as f64) < self.limit * QUEUE_FACTOR {
            return true;
        }
        if request.class == Class::Trial {
            return false;
        }
        let newest_trial = self
            .queue
            .iter_mut()
            .filter(|w| w.request.class == Class::Trial && w.request.deadline > now)
            .max_by_key(|w| w.queued_at);
        match newest_trial {
            // The next call of `next` sheds a request whose deadline has passed.
            Some(trial) => {
                trial.request.deadline = now;
                true
            }
            None => false,
        }
    }
}

/// Order in which queued requests run, the least value first: group of class and job length, then
/// time of queueing.
type Priority = (u8, Millis);

fn queued_priority(waiting: &QueuedRequest, now: Millis) -> Priority {
    request_priority(&waiting.request, waiting.queued_at, now)
}

fn request_priority(request: &AdmissionRequest, queued_at: Millis, now: Millis) -> Priority {
    let is_aged = now.since(queued_at) >= LONG_JOB_MAX_DELAY;
    let group = match (request.class, request.is_long && !is_aged) {
        (Class::Paying, false) => 0,
        (Class::Paying, true) => 1,
        (Class::Trial, false) => 2,
        (Class::Trial, true) => 3,
    };
    (group, queued_at)
}
