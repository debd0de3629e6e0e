//! A running node: its threads and sockets.

use std::{net::SocketAddr, sync::Arc};

use axum::Router;
use laburnum_edge::{Clock, LinkError, Platform};
use laburnum_kernel::{NodeId, Settings, id::BadName};
use tokio::{net::TcpListener, runtime::Handle, sync::watch, task::JoinHandle};

use crate::{
    admin::Admin,
    config::Config,
    control::{Control, ControlThread},
    traffic::{Traffic, UpstreamAddress},
};

/// The node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The region or availability zone is not a name.
    #[error(transparent)]
    Name(#[from] BadName),
    /// The link's sockets cannot be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// An HTTP socket cannot be bound.
    #[error("cannot bind {address}: {source}; choose a free address with --{flag}")]
    Bind {
        flag: &'static str,
        address: SocketAddr,
        source: std::io::Error,
    },
}

/// A running node.
pub struct Node {
    control: ControlThread,
    stop: watch::Sender<bool>,
    servers: Vec<JoinHandle<()>>,
}

impl Node {
    /// Opens every socket and starts the threads. Must be called inside a tokio runtime.
    pub async fn start(
        config: Config,
        clock: Clock,
        platform: Arc<dyn Platform>,
    ) -> Result<Node, StartError> {
        let settings = Settings {
            node: NodeId(config.control),
            incarnation: clock.now().0,
            traffic: config.traffic,
            region: config.region.parse()?,
            zone: config.zone.parse()?,
            peers: config.peers.iter().copied().map(NodeId).collect(),
            spread: config.spread.clone(),
            ..Settings::default()
        };
        let caller = bind("caller", config.caller).await?;
        let traffic = bind("traffic", config.traffic).await?;
        let admin = bind("admin", config.admin).await?;
        let control = ControlThread::start(settings, clock, platform, Handle::current())?;
        let upstream = UpstreamAddress::default();
        let path = Traffic::new(control.control().clone(), upstream.clone());
        let api = Admin {
            control: control.control().clone(),
            upstream,
        };
        let (stop, stopped) = watch::channel(false);
        let servers = vec![
            serve(caller, path.clone().entry(), stopped.clone()),
            serve(traffic, path.owner(), stopped.clone()),
            serve(admin, api.router(), stopped),
        ];
        Ok(Node {
            control,
            stop,
            servers,
        })
    }

    /// The control thread, for callers inside the process.
    pub fn control(&self) -> &Control {
        self.control.control()
    }

    /// Takes no new connections, waits for every request in progress and stops.
    pub async fn close(self) {
        let _ = self.stop.send(true);
        for server in self.servers {
            let _ = server.await;
        }
        self.control.close();
    }
}

async fn bind(flag: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Bind {
            flag,
            address,
            source,
        })
}

fn serve(
    listener: TcpListener,
    router: Router,
    mut stopped: watch::Receiver<bool>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let stop = async move {
            let _ = stopped.wait_for(|it| *it).await;
        };
        let _ = axum::serve(listener, router)
            .with_graceful_shutdown(stop)
            .await;
    })
}
