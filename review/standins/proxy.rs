//! A TCP proxy whose open connections can go silent: they stay open, and no byte passes any more.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

#[derive(Debug)]
struct Flow {
    last_byte: Instant,
    is_silent: bool,
    is_open: bool,
}

#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    flows: Arc<Mutex<Vec<Arc<Mutex<Flow>>>>>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let flows: Arc<Mutex<Vec<Arc<Mutex<Flow>>>>> = Arc::default();
        let known = Arc::clone(&flows);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else {
                    continue;
                };
                let flow = Flow {
                    last_byte: Instant::now(),
                    is_silent: false,
                    is_open: true,
                };
                let flow = Arc::new(Mutex::new(flow));
                lock(&known).push(Arc::clone(&flow));
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone())
                else {
                    continue;
                };
                let forward = Arc::clone(&flow);
                std::thread::spawn(move || copy(from_client, server, &forward));
                std::thread::spawn(move || copy(from_server, client, &flow));
            }
        });
        Ok(Self { address, flows })
    }

    /// Makes all open connections silent that have carried no byte for `idle`; returns how many those are.
    pub fn silence_idle(&self, idle: Duration) -> usize {
        let mut count = 0;
        for flow in lock(&self.flows).iter() {
            let mut flow = lock(flow);
            if flow.is_open && !flow.is_silent && flow.last_byte.elapsed() >= idle {
                flow.is_silent = true;
                count += 1;
            }
        }
        count
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, flow: &Mutex<Flow>) {
    let mut buffer = [0; 16 << 10];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        let mut state = lock(flow);
        if state.is_silent {
            if read == 0 {
                return;
            }
            continue;
        }
        state.last_byte = Instant::now();
        state.is_open &= read > 0;
        drop(state);
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
            lock(flow).is_open = false;
            return;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
