//! Builds a node from its configuration, with a function for each step.

use super::Node;
use super::descriptor_budget::DescriptorBudget;
use super::signals::Signal;
use super::timers::SAVE_INTERVAL_SECONDS;
use crate::decision::interface::{ListKind, Settings};
use crate::net::cluster::peer_connections;
use crate::net::cluster::service::{self, AddressUse, ClusterSections, ClusterService};
use crate::net::config::Config;
use crate::net::downstream::clients::{self, Clients};
use crate::net::handover::Handover;
use crate::net::handover::callbacks::ForwardedCallbacks;
use crate::net::handover::descriptors::DescriptorShares;
use crate::net::lifecycle::Lifecycle;
use crate::net::management::{self, ManagementServer};
use crate::net::messages::{Input, ListedWorker, RequestTimer, WriteWaiter};
use crate::net::requests::durability::{Durability, DurabilityPolicy};
use crate::net::requests::manager::RequestManager;
use crate::net::store_adapter::{RecoveredState, StartedStore, StoreAdapter};
use crate::net::transport::reactor::{self, Clock, Reactor, Timer};
use crate::net::upstream::attempts::Attempts;
use crate::net::upstream::worker_list::{DiscoveryList, WorkerList};
use postproxy_idempotency::Write;
use std::collections::{HashMap, HashSet};
use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;

/// Descriptors reserved for anything but connections, such as standard streams, the poller and
/// files.
const RESERVED_DESCRIPTORS: usize = 24;

/// The opened store, with the parts of it that the request manager needs.
struct OpenedStore {
    adapter: StoreAdapter,
    durability: DurabilityPolicy,
    /// Writes that record which requests of an earlier process never ran.
    initial_writes: Vec<Write>,
}

/// The listening sockets.
struct Listeners {
    clients: TcpListener,
    management: Option<ManagementServer>,
}

/// The worker list as it was last cached.
struct CachedWorkers {
    /// The list's revision; `None` if it has no workers.
    revision: Option<u64>,
    workers: Vec<ListedWorker>,
}

impl Node {
    /// Creates a node that listens on its addresses and uses the worker list cached in the
    /// configuration or in the store. A byte on `stop` shuts the node down.
    ///
    /// The function is long because it lists every field of the node once; the steps are in the
    /// functions below.
    ///
    /// # Errors
    ///
    /// If the configuration is unusable, the store can't be opened, or an address can't be listened
    /// on.
    pub fn new(mut config: Config, stop: UnixStream) -> Result<Self, Box<dyn Error>> {
        let clock = Clock::new();
        let mut reactor = Reactor::new(clock.now())?;
        // The store is read before the listeners are opened: a callback that arrived earlier would
        // find none of the recovered requests.
        let mut recovered = RecoveredState::default();
        let store = open_store(&mut reactor, &mut config, &mut recovered)?;
        // An inherited listener is shared with other processes; a process with a listener of its
        // own can't hand over to a successor.
        let shared_listener = config.listener.is_some();
        let listeners = open_listeners(&mut reactor, &mut config)?;
        let address = listeners.clients.local_addr()?;

        let descriptor_budget = descriptor_budget(&config, listeners.management.is_some());
        let unreserved = config.sockets.saturating_sub(descriptor_budget.reserved);
        let limits = descriptor_budget.limits(unreserved);
        let mut settings = config.settings.clone();
        settings.max_waiting_requests = limits.waiting;
        let clients = Clients::new(
            &mut reactor,
            listeners.clients,
            settings.clone(),
            limits.clients,
        )?;
        let attempts = Attempts::new(
            limits.attempts,
            settings.dial_timeout,
            settings.idle_timeout,
        );

        let cached = cached_workers(config.cached_list.as_ref(), &settings);
        let mut worker_list = WorkerList::new(
            config.discovery,
            settings.clone(),
            cached.revision,
            config.seed,
        );
        let mut requests = RequestManager::new(settings, config.seed)?;
        let store = store.map(|store| attach_store(&mut reactor, &mut requests, store));
        if !cached.workers.is_empty() {
            reactor.queue.push_back(Input::WorkerListReceived {
                kind: ListKind::Cached,
                workers: cached.workers,
            });
        }
        if store.is_some() || shared_listener || config.audit.is_some() {
            worker_list.retain_list(config.cached_list.as_ref());
        }
        if store.is_some() {
            let first_save = reactor.now + SAVE_INTERVAL_SECONDS;
            reactor.set_timer(first_save, Timer::SaveSnapshots);
        }

        let stop_signal = Signal::new(&mut reactor, stop)?;
        let handover = start_handover(&mut reactor, &config, shared_listener);
        check_voter_has_store(&config, store.is_some())?;
        let (cluster, cluster_events) =
            start_cluster(&mut reactor, config, recovered, shared_listener)?;
        let tracks_versions = cluster
            .as_ref()
            .is_some_and(ClusterService::tracks_versions);
        let mut node = Self {
            clock,
            reactor,
            requests,
            clients,
            attempts,
            worker_list,
            store,
            management: listeners.management,
            handover,
            cluster,
            pending_suspensions: HashMap::new(),
            forwarded_callbacks: ForwardedCallbacks::default(),
            descriptor_shares: DescriptorShares::default(),
            completed_snapshots: HashSet::new(),
            descriptor_budget,
            lifecycle: Lifecycle::default(),
            stop_signal,
            reload: None,
            address,
            quiet_checks: 0,
            finished: false,
            longest_turn: 0.0,
            deferred_requests: Vec::new(),
            tracks_versions,
            attempts_on_version: 0,
        };
        node.handle_cluster_events(cluster_events);
        Ok(node)
    }
}

/// Opens the store, if one is configured. A worker list in the store replaces the configured one if
/// it is newer.
fn open_store(
    reactor: &mut Reactor,
    config: &mut Config,
    recovered: &mut RecoveredState,
) -> Result<Option<OpenedStore>, Box<dyn Error>> {
    let Some(section) = &config.store else {
        return Ok(None);
    };
    let StartedStore {
        adapter,
        mut request_log,
        recovered: state,
    } = StoreAdapter::start(reactor, section, &config.name)?;
    *recovered = state;
    if let Some(list) = recovered.worker_list.take() {
        config.cached_list = list.select_initial_list(config.cached_list.take(), config.discovery);
    }
    let initial_writes = request_log.finish_loading();
    let keyed_durability = if section.keyed_durable {
        Durability::Durable
    } else {
        Durability::Relaxed
    };
    let durability = DurabilityPolicy::new(
        &config.settings,
        request_log,
        section.patience_ms as f64 / 1000.0,
        keyed_durability,
    );
    Ok(Some(OpenedStore {
        adapter,
        durability,
        initial_writes,
    }))
}

/// Enables durability in the request manager, and starts the initial writes and the expiry of the
/// recovered requests.
fn attach_store(
    reactor: &mut Reactor,
    requests: &mut RequestManager,
    store: OpenedStore,
) -> StoreAdapter {
    let mut adapter = store.adapter;
    requests.enable_durability(store.durability);
    adapter.write(
        reactor,
        store.initial_writes,
        WriteWaiter::NoWaiter {
            request_id: String::new(),
        },
    );
    reactor.queue.push_back(Input::TimerExpired {
        timer: RequestTimer::ExpireRecords,
    });
    adapter
}

/// Opens the listener for clients, unless one was inherited, and that of the management API.
fn open_listeners(reactor: &mut Reactor, config: &mut Config) -> Result<Listeners, Box<dyn Error>> {
    let listen = |address: SocketAddr| {
        reactor::listen(address).map_err(|error| format!("listening on {address}: {error}"))
    };
    let clients = match config.listener.take() {
        Some(inherited) => inherited,
        None => listen(config.listen)?,
    };
    let management = config.management.map(listen).transpose()?;
    let management = management
        .map(|listener| ManagementServer::new(reactor, listener))
        .transpose()?;
    Ok(Listeners {
        clients,
        management,
    })
}

/// Computes the budget of descriptors from the configuration.
fn descriptor_budget(config: &Config, has_management: bool) -> DescriptorBudget {
    // Three quarters of the memory are for client connections, each counted with the most memory
    // that it can use.
    let clients_by_memory = (config.memory_mb << 20) / 4 * 3 / clients::MAX_CONNECTION_MEMORY_BYTES;
    let management = if has_management {
        management::MAX_SESSIONS
    } else {
        0
    };
    let peers = if config.fleet.is_some() {
        peer_connections::MAX_DESCRIPTORS
    } else {
        0
    };
    DescriptorBudget {
        sockets: config.sockets,
        reserved: RESERVED_DESCRIPTORS + management + peers,
        clients_by_memory,
        max_waiting: config.settings.max_waiting_requests,
    }
}

/// Reads the workers of a cached list. A list without workers counts as no list: a poll with its
/// revision would be answered only once discovery has a newer list.
fn cached_workers(list: Option<&DiscoveryList>, settings: &Settings) -> CachedWorkers {
    let revision = list.map(|list| list.revision);
    let workers = list
        .cloned()
        .map(|list| list.into_workers(settings))
        .unwrap_or_default();
    CachedWorkers {
        revision: revision.filter(|_| !workers.is_empty()),
        workers,
    }
}

/// Starts the handover from an older process of this node, if the listener is shared and a folder
/// for the handover socket is configured.
fn start_handover(
    reactor: &mut Reactor,
    config: &Config,
    shared_listener: bool,
) -> Option<Handover> {
    if !shared_listener {
        return None;
    }
    let Some(folder) = &config.temporary_folder else {
        tracing::warn!("TMPDIR is not set: handover between processes of this node is disabled");
        return None;
    };
    let listen = config.listen.to_string();
    Some(Handover::start(reactor, folder, &config.name, &listen))
}

/// Checks that a voter has a store: it must keep its votes across restarts.
fn check_voter_has_store(config: &Config, has_store: bool) -> Result<(), Box<dyn Error>> {
    let votes = config
        .fleet
        .as_ref()
        .is_some_and(|section| section.voters.contains(&config.name));
    if config.duties.is_some() && !has_store && votes {
        return Err(
            "duties: this node is a voter and must keep its votes across restarts: \
             configure the section store"
                .into(),
        );
    }
    Ok(())
}

/// Starts the cluster service, if one is configured, and returns its first events.
fn start_cluster(
    reactor: &mut Reactor,
    config: Config,
    recovered: RecoveredState,
    shared_listener: bool,
) -> Result<(Option<ClusterService>, Vec<service::Event>), Box<dyn Error>> {
    let Some(section) = config.fleet else {
        return Ok((None, Vec::new()));
    };
    let sections = ClusterSections {
        fleet: section,
        duties: config.duties,
        audit: config.audit,
    };
    let address_use = if shared_listener {
        AddressUse::Shared
    } else {
        AddressUse::Exclusive
    };
    let (cluster, events) =
        ClusterService::start(reactor, sections, &config.name, recovered, address_use)?;
    Ok((Some(cluster), events))
}
