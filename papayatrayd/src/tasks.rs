//! Executor of the process's asynchronous tasks.

use std::io;
use std::sync::Arc;
use std::thread;

use smol::Executor;
use smol::channel;

/// Handle to an executor; clones share it.
#[derive(Clone, Debug)]
pub struct Tasks {
    executor: Arc<Executor<'static>>,
    /// Ends the worker threads when the last clone is dropped.
    _alive: channel::Sender<()>,
}

impl Tasks {
    /// Creates an executor with `threads` worker threads.
    ///
    /// # Errors
    ///
    /// Returns the error if a thread cannot be started.
    pub fn new(threads: usize) -> io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let (alive, ended) = channel::bounded::<()>(1);
        for number in 0..threads {
            let executor = Arc::clone(&executor);
            let ended = ended.clone();
            let run = move || {
                let _closed = smol::block_on(executor.run(ended.recv()));
            };
            thread::Builder::new()
                .name(format!("tasks-{number}"))
                .spawn(run)?;
        }
        Ok(Self {
            executor,
            _alive: alive,
        })
    }

    /// Creates an executor without worker threads; its tasks only run during [`Tasks::run`].
    pub fn without_threads() -> Self {
        let (alive, _ended) = channel::bounded::<()>(1);
        Self {
            executor: Arc::new(Executor::new()),
            _alive: alive,
        }
    }

    /// Runs tasks on the current thread until `main` completes; returns its output.
    pub fn run<F, T>(&self, main: F) -> T
    where
        F: Future<Output = T>,
    {
        smol::block_on(self.executor.run(main))
    }

    /// Spawns a task that is cancelled when the returned handle is dropped.
    pub fn start<F>(&self, task: F) -> smol::Task<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.executor.spawn(task)
    }

    /// Spawns a detached task, which runs until it completes or the process ends.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.executor.spawn(task).detach();
    }
}
