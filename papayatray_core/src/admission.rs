//! Admission to a pool of endpoints: who runs, who waits and who is shed.

use std::collections::VecDeque;

use crate::catalogue::Class;
use crate::clock::Millis;

/// Share of a pool's limit that trials leave free beyond what paying requests lately needed.
const TRIAL_HEADROOM: f64 = 0.1;
/// Time after which the need of paying requests counts for half.
const NEED_HALF_LIFE_MS: f64 = 10_000.0;
/// Requests that may wait for each one that may run.
const QUEUE_FACTOR: f64 = 4.0;
/// Time that a long job waits before it goes ahead of its class.
pub const LONG_JOB_MAX_DELAY: Millis = Millis::from_secs(20);
/// Weight of the newest service time in the moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Service time assumed before any is known, in milliseconds.
const INITIAL_SERVICE_TIME_MS: f64 = 500.0;
/// Shortest time after which a shed caller is asked to try again.
const MIN_RETRY_AFTER: Millis = Millis::new(250);
/// Longest time after which a shed caller is asked to try again.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(30);

/// Wish to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Name of the wish within the gate's owner.
    pub ticket: u64,
    /// Class of the organisation.
    pub class: Class,
    /// Whether the job is long and so may wait behind short ones.
    pub long: bool,
    /// Moment by which the request must begin.
    pub deadline: Millis,
}

/// Decision on a wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now.
    Run,
    /// The request waits; [`Gate::next`] tells when it runs.
    Wait,
    /// The request is refused; its caller may come back after this time.
    Shed(Millis),
}

/// What happened to a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOutcome {
    /// The request of this ticket runs now.
    Run(u64),
    /// The request of this ticket is refused; its caller may come back after this time.
    Shed(u64, Millis),
}

/// Waiting request.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: AdmissionRequest,
    since: Millis,
}

/// Gate before one pool.
#[derive(Clone, Debug)]
pub struct Gate {
    limit: f64,
    paying: u32,
    trial: u32,
    queue: VecDeque<Waiting>,
    service_ms: f64,
    paying_demand: f64,
    demand_at: Millis,
}

impl Gate {
    /// Creates a gate that lets `limit` requests run at once.
    pub fn new(limit: u32) -> Self {
        Self {
            limit: f64::from(limit.max(1)),
            paying: 0,
            trial: 0,
            queue: VecDeque::new(),
            service_ms: INITIAL_SERVICE_TIME_MS,
            paying_demand: 0.0,
            demand_at: Millis::ZERO,
        }
    }

    /// Sets how many requests may run at once.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = f64::from(limit.max(1));
    }

    /// Returns how many requests run.
    pub const fn running(&self) -> u32 {
        self.paying + self.trial
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Lets a request run if there is room at once and nobody of its class waits.
    pub fn try_run(&mut self, class: Class, now: Millis) -> bool {
        let is_first = !self
            .queue
            .iter()
            .any(|w| w.request.class <= class && w.request.deadline > now);
        if !is_first || !self.has_room(class, now) {
            return false;
        }
        self.start(class, now);
        true
    }

    /// Decides on a wish.
    pub fn offer(&mut self, request: AdmissionRequest, now: Millis) -> Admission {
        let is_first = !self
            .queue
            .iter()
            .any(|w| priority(w, now) <= priority_of(&request, now, now));
        if is_first && self.has_room(request.class, now) {
            self.start(request.class, now);
            return Admission::Run;
        }
        if self.is_hopeless(&request, now) {
            return Admission::Shed(self.retry_after());
        }
        if !self.make_room(&request, now) {
            return Admission::Shed(self.retry_after());
        }
        self.queue.push_back(Waiting {
            request,
            since: now,
        });
        Admission::Wait
    }

    /// Ends a request that ran for `service_ms`, if it was served at all.
    pub fn finish(&mut self, class: Class, service_ms: Option<Millis>) {
        let count = match class {
            Class::Paying => &mut self.paying,
            Class::Trial => &mut self.trial,
        };
        *count = count.saturating_sub(1);
        if let Some(service_ms) = service_ms {
            self.service_ms += (service_ms.as_u64() as f64 - self.service_ms) * SERVICE_TIME_WEIGHT;
        }
    }

    /// Takes back the wish of a caller that went away.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.request.ticket != ticket);
        self.queue.len() != before
    }

    /// Returns the next waiting request that runs or must be refused.
    pub fn next(&mut self, now: Millis) -> Option<QueueOutcome> {
        let late = self.queue.iter().position(|w| now >= w.request.deadline);
        if let Some(waiting) = late.and_then(|at| self.queue.remove(at)) {
            return Some(QueueOutcome::Shed(
                waiting.request.ticket,
                self.retry_after(),
            ));
        }
        let best = (0..self.queue.len()).min_by_key(|at| priority(&self.queue[*at], now))?;
        let class = self.queue[best].request.class;
        if !self.has_room(class, now) {
            return None;
        }
        let waiting = self.queue.remove(best)?;
        self.start(class, now);
        Some(QueueOutcome::Run(waiting.request.ticket))
    }

    /// Returns after what time a refused caller may come back.
    pub fn retry_after(&self) -> Millis {
        let rounds = self.queue.len() as f64 / self.limit + 1.0;
        #[expect(clippy::cast_possible_truncation, reason = "clamped right after")]
        #[expect(clippy::cast_sign_loss, reason = "counts and times are not negative")]
        let wait = Millis::new((rounds * self.service_ms) as u64);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn has_room(&self, class: Class, now: Millis) -> bool {
        let running = f64::from(self.running());
        match class {
            Class::Paying => running < self.limit,
            Class::Trial => running < self.trial_limit(now),
        }
    }

    /// Returns up to how many requests a trial may still join.
    ///
    /// What paying requests lately needed at once is kept free for them, with some to spare; where
    /// they need nothing, trials may use nearly all.
    fn trial_limit(&self, now: Millis) -> f64 {
        let unused = (self.paying_demand(now) - f64::from(self.paying)).max(0.0);
        let open = self.limit * (1.0 - TRIAL_HEADROOM) - unused;
        if self.paying_demand(now) < 1.0 {
            open.max(1.0)
        } else {
            open
        }
    }

    /// Returns the most paying requests that lately ran at once, fading with time.
    fn paying_demand(&self, now: Millis) -> f64 {
        let passed = now.since(self.demand_at).as_u64() as f64;
        self.paying_demand * 0.5_f64.powf(passed / NEED_HALF_LIFE_MS)
    }

    fn start(&mut self, class: Class, now: Millis) {
        match class {
            Class::Paying => {
                self.paying += 1;
                self.paying_demand = self.paying_demand(now).max(f64::from(self.paying));
                self.demand_at = now;
            }
            Class::Trial => self.trial += 1,
        }
    }

    /// Tells whether the wish would run out of time in the queue.
    fn is_hopeless(&self, request: &AdmissionRequest, now: Millis) -> bool {
        let own = priority_of(request, now, now);
        let ahead = self
            .queue
            .iter()
            .filter(|w| priority(w, now) <= own)
            .count();
        let wait = (ahead as f64 + 1.0) / self.limit * self.service_ms;
        wait > request.deadline.since(now).as_u64() as f64
    }

    /// Makes a place in the queue, at the cost of a trial where a paying request needs it.
    fn make_room(&mut self, request: &AdmissionRequest, now: Millis) -> bool {
        if (self.queue.len() as f64) < self.limit * QUEUE_FACTOR {
            return true;
        }
        if request.class == Class::Trial {
            return false;
        }
        let worst = self
            .queue
            .iter_mut()
            .filter(|w| w.request.class == Class::Trial && w.request.deadline > now)
            .max_by_key(|w| w.since);
        match worst {
            // A past deadline makes the next turn refuse the trial.
            Some(trial) => {
                trial.request.deadline = now;
                true
            }
            None => false,
        }
    }
}

/// Order in which waiting requests run: the least first.
type Priority = (u8, Millis);

fn priority(waiting: &Waiting, now: Millis) -> Priority {
    priority_of(&waiting.request, waiting.since, now)
}

fn priority_of(request: &AdmissionRequest, since: Millis, now: Millis) -> Priority {
    let is_aged = now.since(since) >= LONG_JOB_MAX_DELAY;
    let group = match (request.class, request.long && !is_aged) {
        (Class::Paying, false) => 0,
        (Class::Paying, true) => 1,
        (Class::Trial, false) => 2,
        (Class::Trial, true) => 3,
    };
    (group, since)
}
