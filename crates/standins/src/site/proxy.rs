//! Loopback proxy that delays, cuts, silences or resets connections.

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

/// Bytes that are carried at a time.
const PART_BYTES: usize = 16 * 1024;
/// Pause between two looks of a silent direction.
const SILENT_LOOK: Duration = Duration::from_millis(10);

/// What the proxy does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProxyMode {
    /// Carries bytes both ways.
    #[default]
    Normal,
    /// Holds each part back for so long.
    Delay(Duration),
    /// Takes connections and carries nothing.
    Stall,
    /// Carries requests, and no answers.
    StallAnswers,
    /// Resets all connections, open and new.
    Reset,
}

/// A proxy in front of one address; cheap to clone.
#[derive(Clone)]
pub struct FaultProxy {
    mode: Arc<Mutex<ProxyMode>>,
    resets: Arc<watch::Sender<u64>>,
}

impl FaultProxy {
    /// Starts a proxy on a free port of `ip`. While `up` is false nothing listens there
    /// and no connection is open, as if the peer itself had ended; it stays as it is when
    /// the sender of `up` is dropped.
    pub async fn start(
        ip: IpAddr,
        target: SocketAddr,
        mut up: watch::Receiver<bool>,
    ) -> std::io::Result<(FaultProxy, SocketAddr)> {
        let (mut listener, address) = listen(ip).await?;
        let proxy = FaultProxy { mode: Arc::default(), resets: Arc::new(watch::Sender::new(0)) };
        let carrying = proxy.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    biased;
                    () = down(&mut up) => {}
                    () = carrying.carry_all(&listener, target) => return,
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

    /// Sets what is done from now on, also with open connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
        if mode == ProxyMode::Reset {
            self.resets.send_modify(|resets| *resets += 1);
        }
    }

    fn mode(&self) -> ProxyMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn carry_all(&self, listener: &TcpListener, target: SocketAddr) {
        let mut connections = JoinSet::new();
        while let Ok((near, _)) = listener.accept().await {
            while connections.try_join_next().is_some() {}
            if self.mode() == ProxyMode::Reset {
                reset(near);
                continue;
            }
            let proxy = self.clone();
            connections.spawn(async move {
                if let Ok(far) = TcpStream::connect(target).await {
                    proxy.carry_pair(near, far).await;
                }
            });
        }
    }

    async fn carry_pair(&self, mut near: TcpStream, mut far: TcpStream) {
        let mut resets = self.resets.subscribe();
        let (mut near_read, mut near_write) = near.split();
        let (mut far_read, mut far_write) = far.split();
        let requests = self.carry(&mut near_read, &mut far_write, false);
        let answers = self.carry(&mut far_read, &mut near_write, true);
        let broken = tokio::select! {
            _ = async { tokio::join!(requests, answers) } => false,
            _ = resets.changed() => true,
        };
        if broken {
            reset(near);
        }
    }

    /// Carries one direction until its end.
    async fn carry(
        &self,
        from: &mut (impl AsyncReadExt + Unpin),
        to: &mut (impl AsyncWriteExt + Unpin),
        answers: bool,
    ) {
        let mut part = vec![0; PART_BYTES];
        loop {
            let count = from.read(&mut part).await.unwrap_or(0);
            loop {
                match self.mode() {
                    ProxyMode::Stall => {}
                    ProxyMode::StallAnswers if answers => {}
                    ProxyMode::Delay(delay) => {
                        tokio::time::sleep(delay).await;
                        break;
                    }
                    _ => break,
                }
                tokio::time::sleep(SILENT_LOOK).await;
            }
            if count == 0 || to.write_all(&part[..count]).await.is_err() {
                // The peer may be gone already.
                let _ = to.shutdown().await;
                return;
            }
        }
    }
}

/// Ends a connection with a reset.
fn reset(stream: TcpStream) {
    // Without the option the connection is closed in the ordinary way.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Waits until the peer is down; for ever if nothing tells any more.
async fn down(up: &mut watch::Receiver<bool>) {
    if up.wait_for(|up| !up).await.is_err() {
        std::future::pending::<()>().await;
    }
}
