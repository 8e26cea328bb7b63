//! Processes that tests start, signal and end by their id.

use std::ffi::OsStr;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use rustix::process::{Pid, WaitOptions, kill_process, waitpid};

/// Bounds every wait. It only ends waits that would never end otherwise, so it may be far longer
/// than what a busy machine needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// How often a process is asked whether it has ended.
const PERIOD: Duration = Duration::from_millis(5);

/// How many lines of output are kept; later ones are read and dropped, so that the process never
/// waits for its reader.
const LINES: usize = 100_000;

/// A signal to a process.
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

#[derive(Debug, Default)]
struct Output {
    lines: Vec<String>,
    ended: bool,
}

#[derive(Debug, Default)]
struct Reader {
    output: Mutex<Output>,
    changed: Condvar,
}

/// A running process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    reader: Arc<Reader>,
    errors: Option<Arc<Reader>>,
    announced: String,
}

/// Returns the path of a binary that was built into the same directory as the running test.
pub fn binary_path(name: &str) -> anyhow::Result<PathBuf> {
    let test = std::env::current_exe()?;
    // Test executables lie in the folder `deps` of that directory.
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
    /// Starts a program and waits until it prints a line that begins with `prefix`.
    pub fn start<A>(program: &Path, arguments: &[A], prefix: &str) -> anyhow::Result<Self>
    where
        A: AsRef<OsStr>,
    {
        let mut process = Self::spawn(program, arguments)?;
        process.announced = process.wait_line(prefix)?;
        Ok(process)
    }

    /// Starts a program like `start`, and keeps what it writes to standard error beside passing it on.
    pub fn start_capturing_stderr<A>(
        program: &Path,
        arguments: &[A],
        prefix: &str,
    ) -> anyhow::Result<Self>
    where
        A: AsRef<OsStr>,
    {
        let mut process = Self::launch(program, arguments, Stdio::piped())?;
        process.announced = process.wait_line(prefix)?;
        Ok(process)
    }

    /// Starts a program without waiting for any output.
    pub fn spawn<A>(program: &Path, arguments: &[A]) -> anyhow::Result<Self>
    where
        A: AsRef<OsStr>,
    {
        Self::launch(program, arguments, Stdio::inherit())
    }

    fn launch<A>(program: &Path, arguments: &[A], errors: Stdio) -> anyhow::Result<Self>
    where
        A: AsRef<OsStr>,
    {
        let name = program.display().to_string();
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .with_context(|| format!("cannot start {name}"))?;
        let stdout = child.stdout.take().expect("the output is piped");
        let reader = Reader::spawn(stdout, false);
        let errors = child
            .stderr
            .take()
            .map(|errors| Reader::spawn(errors, true));
        Ok(Self {
            name,
            child,
            reader,
            errors,
            announced: String::new(),
        })
    }

    /// Returns what followed the prefix in the line that `start` waited for.
    pub fn announced(&self) -> &str {
        &self.announced
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the lines printed so far.
    pub fn lines(&self) -> Vec<String> {
        self.reader.output().lines.clone()
    }

    /// Returns the lines on standard error so far; none unless the process was started with a log.
    pub fn log(&self) -> Vec<String> {
        let errors = self.errors.as_ref();
        errors.map_or_else(Vec::new, |errors| errors.output().lines.clone())
    }

    /// Waits for the first line that begins with `prefix` and returns the rest of it.
    pub fn wait_line(&self, prefix: &str) -> anyhow::Result<String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut output = self.reader.output();
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
            let waited = self.reader.changed.wait_timeout(output, left);
            output = waited.expect("no holder of this lock panics").0;
        }
    }

    /// Sends a signal; a process that has ended is an error.
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
        // The id cannot belong to another process, because this one has not been waited for.
        let id = Pid::from_child(&self.child);
        kill_process(id, number).with_context(|| format!("cannot signal {}", self.name))?;
        if signal == Signal::Stop {
            // The signal takes effect some time after it was sent. A test that counts on a frozen
            // process must not go on before, which one run on a loaded machine showed.
            waitpid(Some(id), WaitOptions::UNTRACED)?;
        }
        Ok(())
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                bail!("{} has not ended in {WAIT_TIMEOUT:?}", self.name);
            }
            std::thread::sleep(PERIOD);
        }
    }

    /// Waits until the process has ended and returns its status and its whole output.
    pub fn finish(&mut self) -> anyhow::Result<(ExitStatus, Vec<String>)> {
        let status = self.wait()?;
        let output = self.reader.output();
        let waited = self
            .reader
            .changed
            .wait_timeout_while(output, WAIT_TIMEOUT, |output| !output.ended);
        let (output, timeout) = waited.expect("no holder of this lock panics");
        if timeout.timed_out() {
            bail!("a child of {} keeps its output open", self.name);
        }
        Ok((status, output.lines.clone()))
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) -> anyhow::Result<ExitStatus> {
        self.signal(Signal::Kill)?;
        self.wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has ended and has been waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Reader {
    fn spawn<R>(source: R, pass_on: bool) -> Arc<Self>
    where
        R: Read + Send + 'static,
    {
        let reader = Arc::new(Self::default());
        std::thread::spawn({
            let reader = Arc::clone(&reader);
            move || reader.read(source, pass_on)
        });
        reader
    }

    fn output(&self) -> MutexGuard<'_, Output> {
        self.output.lock().expect("no holder of this lock panics")
    }

    fn read<R>(&self, source: R, pass_on: bool)
    where
        R: Read,
    {
        for line in BufReader::new(source).lines() {
            let Ok(line) = line else { break };
            if pass_on {
                eprintln!("{line}");
            }
            let mut output = self.output();
            if output.lines.len() < LINES {
                output.lines.push(line);
            }
            self.changed.notify_all();
        }
        self.output().ended = true;
        self.changed.notify_all();
    }
}
