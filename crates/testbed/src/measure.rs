//! Compares the cost of a dispatcher with that of the RPC stack alone, side by side in one run.
//! Nodes respond at once, so the figures are those of the dispatcher, not of a cluster.

use crate::capture::Capture;
use crate::discovery::Discovery;
use crate::node::SharedContext;
use async_io::Timer;
use async_net::TcpListener;
use corkspan_api::v1::{self, placement_client::PlacementClient, placement_event::Event};
use corkspan_rpc::{Connection, ConnectionLimits, SharedExecutor, within};
use futures_lite::{future, stream};
use hdrhistogram::Histogram;
use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tonic::{Request, Response, Status};

/// The settings of a measurement of one dispatcher.
pub struct Measure {
    pub program: Vec<OsString>,
    pub rounds: usize,
    pub seconds: f64,
    /// Concurrent requests.
    pub concurrent_requests: usize,
    pub nodes: u32,
    /// Allocations held for the memory figure.
    pub held_allocations: usize,
}

/// The figures of one round.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Round {
    pub per_second: f64,
    pub p50_us: f64,
    pub p99_us: f64,
}

impl Measure {
    pub fn run(self) -> Result<(), String> {
        let to_text = |why: std::io::Error| why.to_string();
        let tasks = SharedExecutor::default();
        let echo = serve_on_own_thread(|| v1::placement_server::PlacementServer::new(Echo))?;
        let node = serve_on_own_thread(|| v1::node_server::NodeServer::new(InstantNode))?;
        let measurement = async {
            let context = SharedContext::new(Capture::new(None).map_err(to_text)?, &tasks, None);
            let (discovery, address) = Discovery::start(&context).await.map_err(to_text)?;
            for id in 0..self.nodes {
                discovery.update(Duration::ZERO, endpoint(id, node));
            }
            let mut dispatcher = Process::start(&self.program, address, "")?;
            let result = self.compare(&tasks, echo, &mut dispatcher).await;
            result.and(self.memory(&tasks, &mut dispatcher).await)
        };
        future::block_on(tasks.run(measurement))
    }

    async fn compare(
        &self,
        tasks: &SharedExecutor,
        echo: SocketAddr,
        dispatcher: &mut Process,
    ) -> Result<(), String> {
        let (mut echo_rounds, mut dispatcher_rounds) = (Vec::new(), Vec::new());
        let before = self.wait_until_ready(tasks, dispatcher.address).await?;
        println!("idle: {} KiB resident", dispatcher.resident()?);
        let cpu = dispatcher.cpu()?;
        println!(
            "{:>10} {:>12} {:>10} {:>10}",
            "", "asks/s", "p50 us", "p99 us"
        );
        for _ in 0..self.rounds {
            echo_rounds.push(self.round(tasks, "echo", echo).await?);
            dispatcher_rounds.push(self.round(tasks, "dispatcher", dispatcher.address).await?);
        }
        let after = self.wait_until_ready(tasks, dispatcher.address).await?;
        let ratio = |figure: fn(&Round) -> f64| {
            median(&dispatcher_rounds, figure) / median(&echo_rounds, figure)
        };
        println!(
            "dispatcher over echo, medians: asks/s {:.2}, p50 {:.2}, p99 {:.2}",
            ratio(|r| r.per_second),
            ratio(|r| r.p50_us),
            ratio(|r| r.p99_us)
        );
        let requests = (after.requested - before.requested).max(1) as f64;
        let cpu_per_request = (dispatcher.cpu()? - cpu).as_micros() as f64 / requests;
        let decision_per_request =
            (after.decision_time_us - before.decision_time_us) as f64 / requests;
        println!(
            "a request: {cpu_per_request:.1} us of CPU, {decision_per_request:.1} in the scheduler and the engine, {:.1} outside",
            cpu_per_request - decision_per_request
        );
        let version_cost = median_of(
            &mut (0..self.rounds)
                .map(|_| version_fields_us())
                .collect::<Vec<f64>>(),
        );
        println!(
            "the decider and versions of its attempt: {version_cost:.2} us, {:.1}% of that",
            100.0 * version_cost / cpu_per_request
        );
        println!(
            "placed {} of {} requested",
            after.placed - before.placed,
            after.requested - before.requested
        );
        Ok(())
    }

    async fn memory(&self, tasks: &SharedExecutor, dispatcher: &mut Process) -> Result<(), String> {
        println!(
            "with none in flight: {} KiB resident",
            dispatcher.resident()?
        );
        let client = PlacementClient::new(connect(tasks, dispatcher.address).await?);
        let mut streams = Vec::new();
        for number in 0..self.held_allocations {
            let request = request(&format!("held{number}"), 3_600_000);
            let events = client
                .clone()
                .place(request)
                .await
                .map_err(|why| why.to_string())?;
            streams.push(events.into_inner());
        }
        for events in &mut streams {
            events.message().await.map_err(|why| why.to_string())?;
        }
        let status = self.wait_until_ready(tasks, dispatcher.address).await?;
        println!(
            "with {} in flight: {} KiB resident",
            status.in_flight,
            dispatcher.resident()?
        );
        Ok(())
    }

    /// Waits until the dispatcher knows all nodes and returns its status.
    pub(crate) async fn wait_until_ready(
        &self,
        tasks: &SharedExecutor,
        at: SocketAddr,
    ) -> Result<v1::StatusResponse, String> {
        let ready = async {
            let mut client = PlacementClient::new(connect(tasks, at).await?);
            loop {
                let status = client
                    .status(v1::StatusRequest {})
                    .await
                    .map_err(|why| why.to_string())?
                    .into_inner();
                if status.machines_serving >= u64::from(self.nodes) {
                    return Ok(status);
                }
                Timer::after(Duration::from_millis(20)).await;
            }
        };
        within(Duration::from_secs(10), ready)
            .await
            .ok_or("the dispatcher did not learn of its nodes in time")?
    }

    /// Runs one round in a closed loop under this name: each client sends its next request as soon
    /// as the previous one has ended.
    pub(crate) async fn round(
        &self,
        tasks: &SharedExecutor,
        name: &str,
        at: SocketAddr,
    ) -> Result<Round, String> {
        let client = PlacementClient::new(connect(tasks, at).await?);
        let started = Instant::now();
        let end = started + Duration::from_secs_f64(self.seconds);
        let clients: Vec<_> = (0..self.concurrent_requests)
            .map(|client_number| {
                let mut client = client.clone();
                tasks.spawn(async move {
                    let mut times = Vec::new();
                    while Instant::now() < end {
                        let requested_at = Instant::now();
                        let name = format!(
                            "{client_number}-{}-{:x}",
                            times.len(),
                            corkspan_dispatcher::clock::wall_ms()
                        );
                        let events = client
                            .place(request(&name, 1))
                            .await
                            .map_err(|why| why.to_string())?;
                        let mut events = events.into_inner();
                        match events
                            .message()
                            .await
                            .map_err(|why| why.to_string())?
                            .and_then(|event| event.event)
                        {
                            Some(Event::Placed(_)) => {
                                times.push(requested_at.elapsed().as_micros() as u64)
                            }
                            other => return Err(format!("not placed: {other:?}")),
                        }
                        // Reads the stream to its end, so that the request is not cancelled.
                        while events
                            .message()
                            .await
                            .map_err(|why| why.to_string())?
                            .is_some()
                        {}
                    }
                    Ok(times)
                })
            })
            .collect();
        let mut times =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|why| why.to_string())?;
        for client in clients {
            client
                .await?
                .into_iter()
                .for_each(|time| times.saturating_record(time.max(1)));
        }
        let round = Round {
            per_second: times.len() as f64 / started.elapsed().as_secs_f64(),
            p50_us: times.value_at_quantile(0.5) as f64,
            p99_us: times.value_at_quantile(0.99) as f64,
        };
        println!(
            "{name:>10} {:>12.0} {:>10.0} {:>10.0}",
            round.per_second, round.p50_us, round.p99_us
        );
        Ok(round)
    }
}

/// Returns the median of one figure over all rounds.
pub(crate) fn median(rounds: &[Round], of: fn(&Round) -> f64) -> f64 {
    let mut values: Vec<f64> = rounds.iter().map(of).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

pub(crate) async fn connect(tasks: &SharedExecutor, to: SocketAddr) -> Result<Connection, String> {
    let limits = ConnectionLimits {
        connect_timeout: Duration::from_secs(2),
        ..ConnectionLimits::default()
    };
    Connection::open(tasks, to, &limits)
        .await
        .map_err(|why| why.to_string())
}

fn request(task: &str, life_ms: u64) -> v1::PlacementRequest {
    v1::PlacementRequest {
        placement_id: task.into(),
        task: task.into(),
        service: format!("s{}", task.len() % 7),
        service_class: "web".into(),
        tenant: String::new(),
        cores: 0.5,
        memory: 1.0,
        expected_duration_ms: life_ms,
        deadline_ms: 30_000,
        retry: false,
    }
}

pub(crate) fn endpoint(id: u32, address: SocketAddr) -> v1::Endpoint {
    v1::Endpoint {
        node: id,
        address: address.to_string(),
        machine_type: "wide".into(),
        zone: "hall".into(),
        cell: u64::from(id / 4),
        state: v1::endpoint::State::Serving.into(),
        started_ms: 0,
        unreserved: None,
    }
}

/// Serves on a new thread and returns the address.
pub(crate) fn serve_on_own_thread<S>(
    service: impl FnOnce() -> S + Send + 'static,
) -> Result<SocketAddr, String>
where
    S: tower_service::Service<
            http::Request<tonic::body::Body>,
            Response = http::Response<tonic::body::Body>,
            Error = std::convert::Infallible,
        > + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    let listener =
        future::block_on(TcpListener::bind("127.0.0.1:0")).map_err(|why| why.to_string())?;
    let address = listener.local_addr().map_err(|why| why.to_string())?;
    std::thread::spawn(move || {
        let tasks = SharedExecutor::default();
        future::block_on(tasks.run(corkspan_rpc::serve(
            listener,
            service(),
            ConnectionLimits::default(),
        )))
    });
    Ok(address)
}

type EventStream<T> = Pin<Box<dyn futures_lite::Stream<Item = Result<T, Status>> + Send>>;

/// The baseline: the same RPC stack with an immediate response.
#[derive(Clone)]
struct Echo;

#[tonic::async_trait]
impl v1::placement_server::Placement for Echo {
    type PlaceStream = EventStream<v1::PlacementEvent>;
    type HandOverStream = EventStream<v1::PlacementEvent>;

    async fn place(
        &self,
        _: Request<v1::PlacementRequest>,
    ) -> Result<Response<Self::PlaceStream>, Status> {
        let events = [
            Event::Placed(v1::Placed {
                node: 0,
                attempts: 1,
            }),
            Event::Running(v1::Running {}),
            Event::Ended(v1::Ended {
                reason: v1::ended::EndReason::Ended.into(),
            }),
        ];
        let events = events.map(|event| Ok(v1::PlacementEvent { event: Some(event) }));
        Ok(Response::new(Box::pin(stream::iter(events))))
    }

    async fn hand_over(
        &self,
        _: Request<v1::HandOverRequest>,
    ) -> Result<Response<Self::HandOverStream>, Status> {
        Err(Status::unimplemented(
            "the echo server holds no allocations",
        ))
    }

    async fn status(
        &self,
        _: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusResponse>, Status> {
        Ok(Response::new(v1::StatusResponse::default()))
    }
}

/// A node that accepts each attempt at once, and ends it at once unless its expected duration is
/// over a second.
#[derive(Clone)]
pub(crate) struct InstantNode;

#[tonic::async_trait]
impl v1::node_server::Node for InstantNode {
    type OfferStream = EventStream<v1::AttemptEvent>;
    type AttendStream = EventStream<v1::AttemptEvent>;

    async fn greet(
        &self,
        request: Request<v1::Greeting>,
    ) -> Result<Response<v1::Greeting>, Status> {
        Ok(Response::new(request.into_inner()))
    }

    async fn offer(
        &self,
        request: Request<v1::AttemptRequest>,
    ) -> Result<Response<Self::OfferStream>, Status> {
        use corkspan_api::v1::attempt_event::Event;
        let load_report = Some(v1::LoadReport {
            cores: 30.0,
            memory: 40.0,
        });
        let to_message = move |event| {
            Ok(v1::AttemptEvent {
                event: Some(event),
                load_report,
            })
        };
        let first = stream::iter([
            to_message(Event::Accepted(v1::Accepted {})),
            to_message(Event::Running(v1::Started::default())),
        ]);
        let ended = to_message(Event::Ended(v1::AttemptEnded {
            outcome: v1::attempt_ended::AttemptOutcome::Ended.into(),
        }));
        let runs_on = request.into_inner().expected_duration_ms > 1_000;
        let last = stream::once_future(async move {
            if runs_on {
                future::pending::<()>().await;
            }
            ended
        });
        Ok(Response::new(Box::pin(stream::StreamExt::chain(
            first,
            Box::pin(last),
        ))))
    }

    async fn attend(
        &self,
        _: Request<v1::AttemptRequest>,
    ) -> Result<Response<Self::AttendStream>, Status> {
        Err(Status::unimplemented("this node keeps no running tasks"))
    }

    async fn keep(
        &self,
        _: Request<v1::QuorumRequest>,
    ) -> Result<Response<v1::QuorumResponse>, Status> {
        Err(Status::unimplemented("this node is not a quorum member"))
    }

    async fn stop(
        &self,
        _: Request<v1::StopRequest>,
    ) -> Result<Response<v1::StopResponse>, Status> {
        Ok(Response::new(v1::StopResponse { was_present: true }))
    }

    async fn probe(
        &self,
        _: Request<v1::HealthCheckRequest>,
    ) -> Result<Response<v1::HealthCheckResponse>, Status> {
        Ok(Response::new(v1::HealthCheckResponse { load_report: None }))
    }

    async fn door(
        &self,
        _: Request<v1::CordonRequest>,
    ) -> Result<Response<v1::CordonResponse>, Status> {
        Ok(Response::new(v1::CordonResponse::default()))
    }

    async fn acts(
        &self,
        _: Request<v1::OperationsRequest>,
    ) -> Result<Response<v1::OperationsResponse>, Status> {
        Err(Status::unimplemented(
            "this node keeps no record of operations",
        ))
    }
}

/// Returns the text of a deployment file with one service class and `extra_parts`.
pub(crate) fn deployment(discovery: SocketAddr, extra_parts: &str) -> String {
    format!(
        r#"(deployment (listen "127.0.0.1:0") (roster "{discovery}")
  (hall hall) (number 0) (schedulers 1) (halls hall) (kinds (wide (cores 64) (memory 256)))
  (tracks (web (repeat idempotent) (contract-time 600 ms)))
  (accepts (cores 2) (memory 1.5)) (placed-when accepted)
  (cold (lasts 5 s) (window 1 s) (offers 12)) {extra_parts})"#
    )
}

/// A dispatcher process, measured from outside.
pub(crate) struct Process {
    child: Child,
    pub address: SocketAddr,
    _folder: Option<tempfile::TempDir>,
}

impl Process {
    /// Starts a dispatcher with further parts of its deployment, in a temporary folder of its own.
    fn start(
        program: &[OsString],
        discovery: SocketAddr,
        extra_parts: &str,
    ) -> Result<Self, String> {
        let folder = tempfile::tempdir().map_err(|why| why.to_string())?;
        let file = folder.path().join("dispatcher.sexp");
        let mut process = Process::start_in(program, &file, &deployment(discovery, extra_parts))?;
        process._folder = Some(folder);
        Ok(process)
    }

    /// Starts a dispatcher with its deployment file at a path that outlives the process.
    pub fn start_in(program: &[OsString], file: &Path, deployment: &str) -> Result<Self, String> {
        let to_text = |why: std::io::Error| why.to_string();
        std::fs::write(file, deployment).map_err(to_text)?;
        let (executable, arguments) = program
            .split_first()
            .ok_or("the command of the dispatcher is empty")?;
        let mut command = Command::new(executable);
        command
            .args(arguments)
            .arg("serve")
            .arg(file)
            .arg("--level")
            .arg("warn")
            .stdout(Stdio::piped());
        let mut child = command.spawn().map_err(to_text)?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout)
                .read_line(&mut line)
                .map_err(to_text)?;
        }
        let address = line
            .trim()
            .strip_prefix("listening ")
            .and_then(|address| address.parse().ok());
        let Some(address) = address else {
            let _ = child.kill().and_then(|()| child.wait());
            return Err(format!("the dispatcher did not start: `{}`", line.trim()));
        };
        Ok(Process {
            child,
            address,
            _folder: None,
        })
    }

    /// Pauses or resumes the process.
    pub fn set_paused(&self, paused: bool) -> Result<(), String> {
        let signal = if paused {
            rustix::process::Signal::STOP
        } else {
            rustix::process::Signal::CONT
        };
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).map_err(|why| why.to_string())
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the resident memory, in KiB, as counted by the kernel.
    pub(crate) fn resident(&self) -> Result<u64, String> {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).map_err(|why| why.to_string())?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
        number.ok_or_else(|| "the kernel does not report the resident memory".into())
    }

    /// Returns the processor time so far, in the kernel's ticks of 10 ms.
    fn cpu(&self) -> Result<Duration, String> {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).map_err(|why| why.to_string())?;
        // Fields are counted after the process name, which may contain spaces.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|field| field.parse::<u64>().ok())
        };
        let ticks = ticks(11)
            .zip(ticks(12))
            .ok_or("the kernel does not report the processor time")?;
        Ok(Duration::from_millis((ticks.0 + ticks.1) * 10))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill().and_then(|()| self.child.wait());
    }
}

fn median_of(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the additional time, in µs, of counting and encoding an attempt with its decider and
/// versions, over one without them.
fn version_fields_us() -> f64 {
    use prost::Message;
    const ATTEMPTS: u32 = 100_000;
    let mut history = corkspan_version_fencing::history::VersionHistory::default();
    let digest = "0f".repeat(32);
    let mut time = |with_version: bool| {
        let (started, mut bytes) = (Instant::now(), Vec::with_capacity(1_024));
        for number in 0..ATTEMPTS {
            let mut attempt = v1::AttemptRequest {
                placement_id: "p1234#0".into(),
                attempt: number,
                ..v1::AttemptRequest::default()
            };
            if with_version {
                history.count_operations(
                    12,
                    corkspan_version_fencing::operations::OperationKind::Attempt,
                    1,
                );
                let version = Some(v1::VersionId {
                    number: 12,
                    digest: digest.clone(),
                });
                attempt.decider = Some(v1::Decider {
                    version,
                    incarnation: u64::from(number) << 32,
                    dispatcher: 7,
                });
                attempt.minimum_version = Some(v1::MinimumVersion {
                    revision: 3,
                    proposer: 1 << 60,
                    version: 11,
                });
            }
            bytes.clear();
            attempt.encode(&mut bytes).expect("a vector has room");
            std::hint::black_box(&bytes);
        }
        started.elapsed().as_secs_f64() * 1e6 / f64::from(ATTEMPTS)
    };
    let plain = time(false);
    time(true) - plain
}
