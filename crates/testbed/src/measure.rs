//! What a dispatcher costs against the RPC stack alone, side by side in one run. Nodes answer at
//! once here: the figures are the dispatcher's, not a cluster's.

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

/// How it is measured.
pub struct Measure {
    pub program: Vec<OsString>,
    pub rounds: usize,
    pub seconds: f64,
    /// Asks under way at a time.
    pub at_once: usize,
    pub nodes: u32,
    /// Allocations held for the memory figure.
    pub held: usize,
}

/// One round's figures.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Round {
    pub per_second: f64,
    pub p50_us: f64,
    pub p99_us: f64,
}

impl Measure {
    pub fn run(self) -> Result<(), String> {
        let text = |why: std::io::Error| why.to_string();
        let tasks = SharedExecutor::default();
        let echo = serve_on_own_thread(|| v1::placement_server::PlacementServer::new(Echo))?;
        let node = serve_on_own_thread(|| v1::node_server::NodeServer::new(InstantNode))?;
        let whole = async {
            let context = SharedContext::new(Capture::new(None).map_err(text)?, &tasks, None);
            let (discovery, address) = Discovery::start(&context).await.map_err(text)?;
            for id in 0..self.nodes {
                discovery.update(Duration::ZERO, endpoint(id, node));
            }
            let mut dispatcher = Process::start(&self.program, address, "")?;
            let result = self.compare(&tasks, echo, &mut dispatcher).await;
            result.and(self.memory(&tasks, &mut dispatcher).await)
        };
        future::block_on(tasks.run(whole))
    }

    async fn compare(
        &self,
        tasks: &SharedExecutor,
        echo: SocketAddr,
        dispatcher: &mut Process,
    ) -> Result<(), String> {
        let (mut floor, mut own) = (Vec::new(), Vec::new());
        let before = self.wait_until_ready(tasks, dispatcher.address).await?;
        println!("idle: {} KiB resident", dispatcher.resident()?);
        let cpu = dispatcher.cpu()?;
        println!(
            "{:>10} {:>12} {:>10} {:>10}",
            "", "asks/s", "p50 us", "p99 us"
        );
        for _ in 0..self.rounds {
            floor.push(self.round(tasks, "echo", echo).await?);
            own.push(self.round(tasks, "dispatcher", dispatcher.address).await?);
        }
        let after = self.wait_until_ready(tasks, dispatcher.address).await?;
        let ratio = |of: fn(&Round) -> f64| median(&own, of) / median(&floor, of);
        println!(
            "dispatcher over echo, medians: asks/s {:.2}, p50 {:.2}, p99 {:.2}",
            ratio(|r| r.per_second),
            ratio(|r| r.p50_us),
            ratio(|r| r.p99_us)
        );
        let asks = (after.requested - before.requested).max(1) as f64;
        let whole = (dispatcher.cpu()? - cpu).as_micros() as f64 / asks;
        let decided = (after.decision_time_us - before.decision_time_us) as f64 / asks;
        println!(
            "an ask: {whole:.1} us of CPU, {decided:.1} in the decisions and the host, {:.1} outside",
            whole - decided
        );
        let stamp = median_of(&mut (0..self.rounds).map(|_| stamp_us()).collect::<Vec<f64>>());
        println!(
            "the stamp, life and floor of its shot: {stamp:.2} us, {:.1}% of that",
            100.0 * stamp / whole
        );
        println!(
            "placed {} of {} asked",
            after.placed - before.placed,
            after.requested - before.requested
        );
        Ok(())
    }

    async fn memory(&self, tasks: &SharedExecutor, dispatcher: &mut Process) -> Result<(), String> {
        println!("with none in hand: {} KiB resident", dispatcher.resident()?);
        let client = PlacementClient::new(connect(tasks, dispatcher.address).await?);
        let mut held = Vec::new();
        for number in 0..self.held {
            let ask = ask(&format!("held{number}"), 3_600_000);
            let words = client
                .clone()
                .place(ask)
                .await
                .map_err(|why| why.to_string())?;
            held.push(words.into_inner());
        }
        for words in &mut held {
            words.message().await.map_err(|why| why.to_string())?;
        }
        let status = self.wait_until_ready(tasks, dispatcher.address).await?;
        println!(
            "with {} in hand: {} KiB resident",
            status.in_flight,
            dispatcher.resident()?
        );
        Ok(())
    }

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
            .ok_or("the dispatcher does not hear of its nodes")?
    }

    /// Closed loop, named so: so many owners that each ask again as soon as they are answered.
    pub(crate) async fn round(
        &self,
        tasks: &SharedExecutor,
        name: &str,
        at: SocketAddr,
    ) -> Result<Round, String> {
        let client = PlacementClient::new(connect(tasks, at).await?);
        let began = Instant::now();
        let until = began + Duration::from_secs_f64(self.seconds);
        let owners: Vec<_> = (0..self.at_once)
            .map(|owner| {
                let mut client = client.clone();
                tasks.spawn(async move {
                    let mut times = Vec::new();
                    while Instant::now() < until {
                        let asked = Instant::now();
                        let name = format!(
                            "{owner}-{}-{:x}",
                            times.len(),
                            corkspan_dispatcher::clock::wall_ms()
                        );
                        let words = client
                            .place(ask(&name, 1))
                            .await
                            .map_err(|why| why.to_string())?;
                        let mut words = words.into_inner();
                        match words
                            .message()
                            .await
                            .map_err(|why| why.to_string())?
                            .and_then(|word| word.event)
                        {
                            Some(Event::Placed(_)) => {
                                times.push(asked.elapsed().as_micros() as u64)
                            }
                            other => return Err(format!("not placed: {other:?}")),
                        }
                        // To its end, so that nothing is cancelled.
                        while words
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
        for owner in owners {
            owner
                .await?
                .into_iter()
                .for_each(|time| times.saturating_record(time.max(1)));
        }
        let round = Round {
            per_second: times.len() as f64 / began.elapsed().as_secs_f64(),
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

pub(crate) fn median(rounds: &[Round], of: fn(&Round) -> f64) -> f64 {
    let mut values: Vec<f64> = rounds.iter().map(of).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

pub(crate) async fn connect(tasks: &SharedExecutor, to: SocketAddr) -> Result<Connection, String> {
    let bounds = ConnectionLimits {
        connect_timeout: Duration::from_secs(2),
        ..ConnectionLimits::default()
    };
    Connection::open(tasks, to, &bounds)
        .await
        .map_err(|why| why.to_string())
}

fn ask(task: &str, life_ms: u64) -> v1::PlacementRequest {
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

/// Serves on a thread of its own.
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

type Words<T> = Pin<Box<dyn futures_lite::Stream<Item = Result<T, Status>> + Send>>;

/// The floor: the same stack, answering at once.
#[derive(Clone)]
struct Echo;

#[tonic::async_trait]
impl v1::placement_server::Placement for Echo {
    type PlaceStream = Words<v1::PlacementEvent>;
    type HandOverStream = Words<v1::PlacementEvent>;

    async fn place(
        &self,
        _: Request<v1::PlacementRequest>,
    ) -> Result<Response<Self::PlaceStream>, Status> {
        let words = [
            Event::Placed(v1::Placed {
                node: 0,
                attempts: 1,
            }),
            Event::Running(v1::Running {}),
            Event::Ended(v1::Ended {
                reason: v1::ended::EndReason::Ended.into(),
            }),
        ];
        let words = words.map(|word| Ok(v1::PlacementEvent { event: Some(word) }));
        Ok(Response::new(Box::pin(stream::iter(words))))
    }

    async fn hand_over(
        &self,
        _: Request<v1::HandOverRequest>,
    ) -> Result<Response<Self::HandOverStream>, Status> {
        Err(Status::unimplemented("an echo holds nothing"))
    }

    async fn status(
        &self,
        _: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusResponse>, Status> {
        Ok(Response::new(v1::StatusResponse::default()))
    }
}

/// A node that takes everything at once, and ends it at once unless it is to live long.
#[derive(Clone)]
pub(crate) struct InstantNode;

#[tonic::async_trait]
impl v1::node_server::Node for InstantNode {
    type OfferStream = Words<v1::AttemptEvent>;
    type AttendStream = Words<v1::AttemptEvent>;

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
        let load = Some(v1::LoadReport {
            cores: 30.0,
            memory: 40.0,
        });
        let say = move |said| {
            Ok(v1::AttemptEvent {
                event: Some(said),
                load_report: load,
            })
        };
        let first = stream::iter([
            say(Event::Accepted(v1::Accepted {})),
            say(Event::Running(v1::Started::default())),
        ]);
        let over = say(Event::Ended(v1::AttemptEnded {
            outcome: v1::attempt_ended::AttemptOutcome::Ended.into(),
        }));
        let long = request.into_inner().expected_duration_ms > 1_000;
        let rest = stream::once_future(async move {
            if long {
                future::pending::<()>().await;
            }
            over
        });
        Ok(Response::new(Box::pin(stream::StreamExt::chain(
            first,
            Box::pin(rest),
        ))))
    }

    async fn attend(
        &self,
        _: Request<v1::AttemptRequest>,
    ) -> Result<Response<Self::AttendStream>, Status> {
        Err(Status::unimplemented("nothing stays here"))
    }

    async fn keep(
        &self,
        _: Request<v1::QuorumRequest>,
    ) -> Result<Response<v1::QuorumResponse>, Status> {
        Err(Status::unimplemented("no keeper"))
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
        Err(Status::unimplemented("it keeps no record"))
    }
}

pub(crate) fn deployment(discovery: SocketAddr, more: &str) -> String {
    format!(
        r#"(deployment (listen "127.0.0.1:0") (roster "{discovery}")
  (hall hall) (number 0) (schedulers 1) (halls hall) (kinds (wide (cores 64) (memory 256)))
  (tracks (web (repeat idempotent) (contract-time 600 ms)))
  (accepts (cores 2) (memory 1.5)) (placed-when accepted)
  (cold (lasts 5 s) (window 1 s) (offers 12)) {more})"#
    )
}

/// A dispatcher's process, measured from outside.
pub(crate) struct Process {
    child: Child,
    pub address: SocketAddr,
    _folder: Option<tempfile::TempDir>,
}

impl Process {
    /// `more` are further parts of its deployment.
    fn start(program: &[OsString], discovery: SocketAddr, more: &str) -> Result<Self, String> {
        let folder = tempfile::tempdir().map_err(|why| why.to_string())?;
        let file = folder.path().join("dispatcher.sexp");
        let mut started = Process::start_in(program, &file, &deployment(discovery, more))?;
        started._folder = Some(folder);
        Ok(started)
    }

    /// With its file at a place that outlives it.
    pub fn start_in(program: &[OsString], file: &Path, deployment: &str) -> Result<Self, String> {
        let text = |why: std::io::Error| why.to_string();
        std::fs::write(file, deployment).map_err(text)?;
        let (first, rest) = program.split_first().ok_or("no program is given")?;
        let mut command = Command::new(first);
        command
            .args(rest)
            .arg("serve")
            .arg(file)
            .arg("--level")
            .arg("warn")
            .stdout(Stdio::piped());
        let mut child = command.spawn().map_err(text)?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line).map_err(text)?;
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

    /// Stands still, or goes on.
    pub fn set_paused(&self, still: bool) -> Result<(), String> {
        let signal = if still {
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

    /// KiB, as the kernel counts them.
    pub(crate) fn resident(&self) -> Result<u64, String> {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).map_err(|why| why.to_string())?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
        number.ok_or_else(|| "the kernel does not tell its memory".into())
    }

    /// Time on a processor so far, in the kernel's ticks of 10 ms.
    fn cpu(&self) -> Result<Duration, String> {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).map_err(|why| why.to_string())?;
        // Counted from behind the name, which may hold spaces.
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
            .ok_or("the kernel does not tell its time")?;
        Ok(Duration::from_millis((ticks.0 + ticks.1) * 10))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill().and_then(|()| self.child.wait());
    }
}

fn median_of(all: &mut [f64]) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

/// What it costs a shot to carry who decided it under which version, counted and written, over one
/// that tells nothing.
fn stamp_us() -> f64 {
    use prost::Message;
    const MANY: u32 = 100_000;
    let mut record = corkspan_version_fencing::history::VersionHistory::default();
    let digest = "0f".repeat(32);
    let mut time = |stamped: bool| {
        let (began, mut bytes) = (Instant::now(), Vec::with_capacity(1_024));
        for number in 0..MANY {
            let mut shot = v1::AttemptRequest {
                placement_id: "p1234#0".into(),
                attempt: number,
                ..v1::AttemptRequest::default()
            };
            if stamped {
                record.count_operations(
                    12,
                    corkspan_version_fencing::operations::OperationKind::Attempt,
                    1,
                );
                let stamp = Some(v1::VersionId {
                    number: 12,
                    digest: digest.clone(),
                });
                shot.decider = Some(v1::Decider {
                    version: stamp,
                    incarnation: u64::from(number) << 32,
                    dispatcher: 7,
                });
                shot.minimum_version = Some(v1::MinimumVersion {
                    revision: 3,
                    proposer: 1 << 60,
                    version: 11,
                });
            }
            bytes.clear();
            shot.encode(&mut bytes).expect("a vector has room");
            std::hint::black_box(&bytes);
        }
        began.elapsed().as_secs_f64() * 1e6 / f64::from(MANY)
    };
    let plain = time(false);
    time(true) - plain
}
