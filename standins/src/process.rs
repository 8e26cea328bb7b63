//! Child processes of tests, which are signalled and ended by their process ids.

use std::ffi::OsStr;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use rustix::process::{Pid, WaitOptions, kill_process, waitpid};

/// Limit for every wait in this module. It only ends waits that would never end otherwise, so it is far
/// longer than a busy machine needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval at which a wait checks whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of output lines that are kept per stream. Later lines are read and dropped, so that the
/// process never blocks on a full pipe.
const MAX_LINES: usize = 100_000;

/// Signal that a test can send to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// `SIGTERM`, which asks for a planned stop.
    Terminate,
    /// `SIGKILL`, which ends the process at once.
    Kill,
    /// `SIGSTOP`, which freezes the process.
    Stop,
    /// `SIGCONT`, which ends a freeze.
    Continue,
}

/// Lines read from one output stream of a process.
#[derive(Debug, Default)]
struct Output {
    lines: Vec<String>,
    /// Whether the stream has reached its end.
    ended: bool,
}

/// Reads an output stream on a thread of its own.
#[derive(Debug, Default)]
struct LineReader {
    output: Mutex<Output>,
    /// Notified after each line and at the end of the stream.
    changed: Condvar,
}

/// Running process, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    stdout: Arc<LineReader>,
    stderr: Option<Arc<LineReader>>,
    /// Rest of the line that `start` waited for.
    announced: String,
}

/// Returns the path of a program that was built into the same directory as the running test.
pub fn binary_path(name: &str) -> anyhow::Result<PathBuf> {
    let test = std::env::current_exe()?;
    // Cargo puts test executables into the folder `deps` of that directory.
    let directory = test.ancestors().nth(2);
    let path = directory
        .context("the test lies in no directory")?
        .join(name);
    if !path.is_file() {
        bail!("{} is missing; build the workspace first", path.display());
    }
    Ok(path)
}

impl Process {
    /// Starts a program and waits until it prints a line that begins with `prefix` to standard output.
    pub fn start<A>(program: &Path, arguments: &[A], prefix: &str) -> anyhow::Result<Self>
    where
        A: AsRef<OsStr>,
    {
        let mut process = Self::spawn(program, arguments)?;
        process.announced = process.wait_line(prefix)?;
        Ok(process)
    }

    /// Starts a program like [`Process::start`], forwards its standard error and also keeps it for
    /// [`Process::log`].
    pub fn start_capturing_stderr<A>(
        program: &Path,
        arguments: &[A],
        prefix: &str,
    ) -> anyhow::Result<Self>
    where
        A: AsRef<OsStr>,
    {
        let mut process = Self::start_with_stderr(program, arguments, Stdio::piped())?;
        process.announced = process.wait_line(prefix)?;
        Ok(process)
    }

    /// Starts a program without waiting for output.
    pub fn spawn<A>(program: &Path, arguments: &[A]) -> anyhow::Result<Self>
    where
        A: AsRef<OsStr>,
    {
        Self::start_with_stderr(program, arguments, Stdio::inherit())
    }

    fn start_with_stderr<A>(program: &Path, arguments: &[A], stderr: Stdio) -> anyhow::Result<Self>
    where
        A: AsRef<OsStr>,
    {
        let name = program.display().to_string();
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .with_context(|| format!("cannot start {name}"))?;
        let stdout = child.stdout.take().expect("the output is piped");
        let stdout = LineReader::spawn(stdout, false);
        let stderr = child
            .stderr
            .take()
            .map(|stderr| LineReader::spawn(stderr, true));
        Ok(Self {
            name,
            child,
            stdout,
            stderr,
            announced: String::new(),
        })
    }

    /// Returns the rest of the line that [`Process::start`] waited for, usually an address; empty after
    /// [`Process::spawn`].
    pub fn announced(&self) -> &str {
        &self.announced
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the lines that the process has printed to standard output so far.
    pub fn lines(&self) -> Vec<String> {
        self.stdout.output().lines.clone()
    }

    /// Returns the lines that the process has written to standard error so far; empty unless it was
    /// started with [`Process::start_capturing_stderr`].
    pub fn log(&self) -> Vec<String> {
        let stderr = self.stderr.as_ref();
        stderr.map_or_else(Vec::new, |stderr| stderr.output().lines.clone())
    }

    /// Waits until standard output has a line that begins with `prefix` and returns the rest of the
    /// first such line.
    pub fn wait_line(&self, prefix: &str) -> anyhow::Result<String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut output = self.stdout.output();
        loop {
            if let Some(rest) = output
                .lines
                .iter()
                .find_map(|line| line.strip_prefix(prefix))
            {
                return Ok(rest.to_owned());
            }
            if output.ended {
                bail!("{} ended without a line \"{prefix}\"", self.name);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                bail!(
                    "{} printed no line \"{prefix}\" in {WAIT_TIMEOUT:?}",
                    self.name
                );
            }
            let waited = self.stdout.changed.wait_timeout(output, left);
            output = waited.expect("no holder of this lock panics").0;
        }
    }

    /// Sends a signal; fails if the process has exited.
    pub fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        if let Some(status) = self.child.try_wait()? {
            bail!("{} has ended with {status}", self.name);
        }
        let number = match signal {
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Kill => rustix::process::Signal::KILL,
            Signal::Stop => rustix::process::Signal::STOP,
            Signal::Continue => rustix::process::Signal::CONT,
        };
        // The process has not been waited for, so its id cannot belong to another one yet.
        let id = Pid::from_child(&self.child);
        kill_process(id, number).with_context(|| format!("cannot signal {}", self.name))?;
        if signal == Signal::Stop {
            // A stop signal takes effect some time after it was sent, on a loaded machine even after
            // this call would return. A test that relies on a frozen process must not continue before.
            waitpid(Some(id), WaitOptions::UNTRACED)?;
        }
        Ok(())
    }

    /// Waits until the process has exited and returns its status.
    pub fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                bail!("{} has not ended in {WAIT_TIMEOUT:?}", self.name);
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Waits until the process has exited and returns its status and all lines of its standard output.
    pub fn finish(&mut self) -> anyhow::Result<(ExitStatus, Vec<String>)> {
        let status = self.wait()?;
        let output = self.stdout.output();
        let waited = self
            .stdout
            .changed
            .wait_timeout_while(output, WAIT_TIMEOUT, |output| !output.ended);
        let (output, timeout) = waited.expect("no holder of this lock panics");
        if timeout.timed_out() {
            bail!("a child of {} keeps its output open", self.name);
        }
        Ok((status, output.lines.clone()))
    }

    /// Kills the process, waits until it has exited and returns its status.
    pub fn kill(&mut self) -> anyhow::Result<ExitStatus> {
        self.signal(Signal::Kill)?;
        self.wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail only if the process has exited and has been waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl LineReader {
    /// Starts a thread that reads `source` line by line; `forward` also copies each line to standard
    /// error.
    fn spawn<R>(source: R, forward: bool) -> Arc<Self>
    where
        R: Read + Send + 'static,
    {
        let reader = Arc::new(Self::default());
        std::thread::spawn({
            let reader = Arc::clone(&reader);
            move || reader.read(source, forward)
        });
        reader
    }

    fn output(&self) -> MutexGuard<'_, Output> {
        self.output.lock().expect("no holder of this lock panics")
    }

    fn read<R>(&self, source: R, forward: bool)
    where
        R: Read,
    {
        for line in BufReader::new(source).lines() {
            let Ok(line) = line else { break };
            if forward {
                eprintln!("{line}");
            }
            let mut output = self.output();
            if output.lines.len() < MAX_LINES {
                output.lines.push(line);
            }
            self.changed.notify_all();
        }
        self.output().ended = true;
        self.changed.notify_all();
    }
}
