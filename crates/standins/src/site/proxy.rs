//! Loopback TCP proxy that delays, stalls or resets connections, to simulate network faults.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::site::listen;

/// Maximum number of bytes forwarded at a time.
const BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which a stalled direction checks whether it may continue.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What the proxy does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProxyMode {
    /// Forwards bytes in both directions.
    #[default]
    Normal,
    /// Delays each buffer by this long.
    Delay(Duration),
    /// Accepts connections and forwards nothing.
    Stall,
    /// Forwards requests but no answers.
    StallAnswers,
    /// Resets all open and new connections.
    Reset,
}

/// Handle of a proxy in front of one address; clones share the proxy.
#[derive(Clone)]
pub struct FaultProxy {
    mode: Arc<Mutex<ProxyMode>>,
    reset_count: Arc<watch::Sender<u64>>,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a free port of `ip`. While `up` is false, nothing listens
    /// there and no connection is open, as if the target itself had crashed. If the sender of
    /// `up` is dropped, the last state remains.
    pub async fn start(
        ip: IpAddr,
        target: SocketAddr,
        mut up: watch::Receiver<bool>,
    ) -> std::io::Result<(FaultProxy, SocketAddr)> {
        let (mut listener, address) = listen(ip).await?;
        let proxy =
            FaultProxy { mode: Arc::default(), reset_count: Arc::new(watch::Sender::new(0)) };
        let forwarder = proxy.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    biased;
                    () = wait_down(&mut up) => {}
                    () = forwarder.serve(&listener, target) => return,
                }
                drop(listener);
                if up.wait_for(|up| *up).await.is_err() {
                    return;
                }
                listener = match TcpListener::bind(address).await {
                    Ok(listener) => listener,
                    Err(_) => return,
                };
            }
        });
        Ok((proxy, address))
    }

    /// Sets the mode for open and new connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
        if mode == ProxyMode::Reset {
            self.reset_count.send_modify(|count| *count += 1);
        }
    }

    fn mode(&self) -> ProxyMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, listener: &TcpListener, target: SocketAddr) {
        let mut connections = JoinSet::new();
        while let Ok((client, _)) = listener.accept().await {
            while connections.try_join_next().is_some() {}
            if self.mode() == ProxyMode::Reset {
                reset_connection(client);
                continue;
            }
            let proxy = self.clone();
            connections.spawn(async move {
                if let Ok(server) = TcpStream::connect(target).await {
                    proxy.forward_pair(client, server).await;
                }
            });
        }
    }

    /// Forwards both directions of a connection until both have ended or it is reset.
    async fn forward_pair(&self, mut client: TcpStream, mut server: TcpStream) {
        let mut resets = self.reset_count.subscribe();
        let (mut client_read, mut client_write) = client.split();
        let (mut server_read, mut server_write) = server.split();
        let requests = self.forward(&mut client_read, &mut server_write, false);
        let answers = self.forward(&mut server_read, &mut client_write, true);
        let was_reset = tokio::select! {
            _ = async { tokio::join!(requests, answers) } => false,
            _ = resets.changed() => true,
        };
        if was_reset {
            reset_connection(client);
        }
    }

    /// Forwards one direction until its end.
    async fn forward(
        &self,
        from: &mut (impl AsyncReadExt + Unpin),
        to: &mut (impl AsyncWriteExt + Unpin),
        is_answer: bool,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer).await.unwrap_or(0);
            loop {
                match self.mode() {
                    ProxyMode::Stall => {}
                    ProxyMode::StallAnswers if is_answer => {}
                    ProxyMode::Delay(delay) => {
                        tokio::time::sleep(delay).await;
                        break;
                    }
                    _ => break,
                }
                tokio::time::sleep(STALL_CHECK_INTERVAL).await;
            }
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
                // The peer may have closed the connection already.
                let _ = to.shutdown().await;
                return;
            }
        }
    }
}

/// Closes a connection with a reset.
fn reset_connection(stream: TcpStream) {
    // A zero linger time makes the close send a reset. If the option cannot be set, the
    // connection is closed normally.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Waits until `up` is false; forever if its sender is dropped.
async fn wait_down(up: &mut watch::Receiver<bool>) {
    if up.wait_for(|up| !up).await.is_err() {
        std::future::pending::<()>().await;
    }
}
