//! Admission to a pool of endpoints: who runs, who waits and who is shed.

use std::collections::VecDeque;

use crate::catalogue::Class;
use crate::clock::Millis;

/// Share of a pool's limit that trials leave free beyond what paying requests lately needed.
const RESERVE: f64 = 0.1;
/// Time after which the need of paying requests counts for half.
const NEED_HALF: f64 = 10_000.0;
/// Requests that may wait for each one that may run.
const QUEUE_FACTOR: f64 = 4.0;
/// Time that a long job waits before it goes ahead of its class.
pub const LONG_AGE: Millis = Millis::from_secs(20);
/// Weight of the newest service time in the moving average.
const WEIGHT: f64 = 0.1;
/// Service time assumed before any is known, in milliseconds.
const FIRST_SERVICE: f64 = 500.0;
/// Shortest time after which a shed caller is asked to try again.
const RETRY_LEAST: Millis = Millis::new(250);
/// Longest time after which a shed caller is asked to try again.
const RETRY_MOST: Millis = Millis::from_secs(30);

/// Wish to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wish {
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
pub enum Turn {
    /// The request of this ticket runs now.
    Run(u64),
    /// The request of this ticket is refused; its caller may come back after this time.
    Shed(u64, Millis),
}

/// Waiting request.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    wish: Wish,
    since: Millis,
}

/// Gate before one pool.
#[derive(Clone, Debug)]
pub struct Gate {
    limit: f64,
    paying: u32,
    trial: u32,
    queue: VecDeque<Waiting>,
    service: f64,
    need: f64,
    need_at: Millis,
}

impl Gate {
    /// Creates a gate that lets `limit` requests run at once.
    pub fn new(limit: u32) -> Self {
        Self {
            limit: f64::from(limit.max(1)),
            paying: 0,
            trial: 0,
            queue: VecDeque::new(),
            service: FIRST_SERVICE,
            need: 0.0,
            need_at: Millis::ZERO,
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
            .any(|w| w.wish.class <= class && w.wish.deadline > now);
        if !is_first || !self.has_room(class, now) {
            return false;
        }
        self.start(class, now);
        true
    }

    /// Decides on a wish.
    pub fn offer(&mut self, wish: Wish, now: Millis) -> Admission {
        let is_first = !self
            .queue
            .iter()
            .any(|w| rank(w, now) <= rank_of(&wish, now, now));
        if is_first && self.has_room(wish.class, now) {
            self.start(wish.class, now);
            return Admission::Run;
        }
        if self.is_hopeless(&wish, now) {
            return Admission::Shed(self.retry_after());
        }
        if !self.make_place(&wish, now) {
            return Admission::Shed(self.retry_after());
        }
        self.queue.push_back(Waiting { wish, since: now });
        Admission::Wait
    }

    /// Ends a request that ran for `service`, if it was served at all.
    pub fn finish(&mut self, class: Class, service: Option<Millis>) {
        let count = match class {
            Class::Paying => &mut self.paying,
            Class::Trial => &mut self.trial,
        };
        *count = count.saturating_sub(1);
        if let Some(service) = service {
            self.service += (service.as_u64() as f64 - self.service) * WEIGHT;
        }
    }

    /// Takes back the wish of a caller that went away.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.wish.ticket != ticket);
        self.queue.len() != before
    }

    /// Returns the next waiting request that runs or must be refused.
    pub fn next(&mut self, now: Millis) -> Option<Turn> {
        let late = self.queue.iter().position(|w| now >= w.wish.deadline);
        if let Some(waiting) = late.and_then(|at| self.queue.remove(at)) {
            return Some(Turn::Shed(waiting.wish.ticket, self.retry_after()));
        }
        let best = (0..self.queue.len()).min_by_key(|at| rank(&self.queue[*at], now))?;
        let class = self.queue[best].wish.class;
        if !self.has_room(class, now) {
            return None;
        }
        let waiting = self.queue.remove(best)?;
        self.start(class, now);
        Some(Turn::Run(waiting.wish.ticket))
    }

    /// Returns after what time a refused caller may come back.
    pub fn retry_after(&self) -> Millis {
        let rounds = self.queue.len() as f64 / self.limit + 1.0;
        #[expect(clippy::cast_possible_truncation, reason = "clamped right after")]
        #[expect(clippy::cast_sign_loss, reason = "counts and times are not negative")]
        let wait = Millis::new((rounds * self.service) as u64);
        wait.clamp(RETRY_LEAST, RETRY_MOST)
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
        let unused = (self.need(now) - f64::from(self.paying)).max(0.0);
        let open = self.limit * (1.0 - RESERVE) - unused;
        if self.need(now) < 1.0 {
            open.max(1.0)
        } else {
            open
        }
    }

    /// Returns the most paying requests that lately ran at once, fading with time.
    fn need(&self, now: Millis) -> f64 {
        let passed = now.since(self.need_at).as_u64() as f64;
        self.need * 0.5_f64.powf(passed / NEED_HALF)
    }

    fn start(&mut self, class: Class, now: Millis) {
        match class {
            Class::Paying => {
                self.paying += 1;
                self.need = self.need(now).max(f64::from(self.paying));
                self.need_at = now;
            }
            Class::Trial => self.trial += 1,
        }
    }

    /// Tells whether the wish would run out of time in the queue.
    fn is_hopeless(&self, wish: &Wish, now: Millis) -> bool {
        let own = rank_of(wish, now, now);
        let ahead = self.queue.iter().filter(|w| rank(w, now) <= own).count();
        let wait = (ahead as f64 + 1.0) / self.limit * self.service;
        wait > wish.deadline.since(now).as_u64() as f64
    }

    /// Makes a place in the queue, at the cost of a trial where a paying request needs it.
    fn make_place(&mut self, wish: &Wish, now: Millis) -> bool {
        if (self.queue.len() as f64) < self.limit * QUEUE_FACTOR {
            return true;
        }
        if wish.class == Class::Trial {
            return false;
        }
        let worst = self
            .queue
            .iter_mut()
            .filter(|w| w.wish.class == Class::Trial && w.wish.deadline > now)
            .max_by_key(|w| w.since);
        match worst {
            // A past deadline makes the next turn refuse the trial.
            Some(trial) => {
                trial.wish.deadline = now;
                true
            }
            None => false,
        }
    }
}

/// Order in which waiting requests run: the least first.
type Rank = (u8, Millis);

fn rank(waiting: &Waiting, now: Millis) -> Rank {
    rank_of(&waiting.wish, waiting.since, now)
}

fn rank_of(wish: &Wish, since: Millis, now: Millis) -> Rank {
    let is_aged = now.since(since) >= LONG_AGE;
    let group = match (wish.class, wish.long && !is_aged) {
        (Class::Paying, false) => 0,
        (Class::Paying, true) => 1,
        (Class::Trial, false) => 2,
        (Class::Trial, true) => 3,
    };
    (group, since)
}
