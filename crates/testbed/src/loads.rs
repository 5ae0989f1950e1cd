//! The load generator against what it is to be trusted with: its own error, and a dispatcher that
//! stands still.

use crate::capture::Capture;
use crate::discovery::Discovery;
use crate::measure::{self, InstantNode, Measure, Process};
use crate::node::SharedContext;
use async_io::Timer;
use corkspan_api::v1::{self, placement_event::Event};
use corkspan_load_generator::plan::Plan;
use corkspan_load_generator::run::{LoadRun, Loop, run};
use corkspan_load_generator::tally::Report;
use corkspan_rpc::SharedExecutor;
use futures_lite::{Stream, future, stream};
use hdrhistogram::Histogram;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tonic::{Request, Response, Status};

/// Sends a load on this thread.
pub fn send(
    plan: Plan,
    to: &[SocketAddr],
    how: Loop,
    tell: impl FnMut(Duration, usize),
) -> Result<Report, String> {
    let tasks = SharedExecutor::default();
    let load = LoadRun {
        plan,
        dispatchers: to.to_vec(),
        mode: how,
        began: Instant::now(),
    };
    let sent = run(&tasks, load, tell);
    future::block_on(tasks.run(sent)).map_err(|why| why.to_string())
}

fn plan(phases: &str, life_ms: u64) -> Result<Plan, String> {
    let text = format!(
        "(load (spacing even) (phases {phases})
           (kinds (web (cores 0.1) (memory 0.1) (life {life_ms} ms) (abandon-time 8 s))))"
    );
    Plan::read("the plan", &text, Path::new("")).map_err(|why| why.to_string())
}

/// Answers at once, and keeps when each ask came.
#[derive(Clone, Default)]
struct Catch(Arc<Mutex<Vec<(usize, Instant)>>>);

type Words = Pin<Box<dyn Stream<Item = Result<v1::PlacementEvent, Status>> + Send>>;

#[tonic::async_trait]
impl v1::placement_server::Placement for Catch {
    type PlaceStream = Words;
    type HandOverStream = Words;

    async fn place(
        &self,
        request: Request<v1::PlacementRequest>,
    ) -> Result<Response<Words>, Status> {
        let at = Instant::now();
        let number = request
            .get_ref()
            .task
            .rsplit('-')
            .next()
            .and_then(|number| number.parse().ok());
        let number = number.ok_or_else(|| Status::invalid_argument("no number"))?;
        self.0
            .lock()
            .expect("no one panics over the times")
            .push((number, at));
        let words = [Event::Placed(v1::Placed {
            node: 0,
            attempts: 1,
        })];
        Ok(Response::new(Box::pin(stream::iter(words.map(|word| {
            Ok(v1::PlacementEvent { event: Some(word) })
        })))))
    }

    async fn hand_over(&self, _: Request<v1::HandOverRequest>) -> Result<Response<Words>, Status> {
        Err(Status::unimplemented("it holds nothing"))
    }

    async fn status(
        &self,
        _: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusResponse>, Status> {
        Ok(Response::new(v1::StatusResponse::default()))
    }
}

/// How far from their intended times asks arrive at a server that does nothing else.
pub fn error(rate: u32) -> Result<String, String> {
    let catch = Catch::default();
    let served = catch.clone();
    let to = [measure::serve_on_own_thread(|| {
        v1::placement_server::PlacementServer::new(served)
    })?];
    let plan = plan(&format!("(constant (for 5 s) (rate {rate}))"), 1)?;
    let intended: Vec<Duration> = plan.shape.arrivals(plan.seed).collect();
    let tasks = SharedExecutor::default();
    let began = Instant::now() + Duration::from_millis(200);
    let load = LoadRun {
        plan,
        dispatchers: to.to_vec(),
        mode: Loop::Open,
        began,
    };
    let sent = run(&tasks, load, |_, _| {});
    let report = future::block_on(tasks.run(sent)).map_err(|why| why.to_string())?;
    let mut off =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|why| why.to_string())?;
    let caught = catch.0.lock().expect("no one panics over the times");
    for (number, at) in &*caught {
        let due = began + *intended.get(*number).ok_or("an ask that was not meant")?;
        off.saturating_record(at.saturating_duration_since(due).as_micros() as u64 + 1);
    }
    let us = |quantile| off.value_at_quantile(quantile);
    Ok(format!(
        "{rate} asks/s: {} of {} arrived, {:.1} a second sent; late by p50 {} us, p99 {} us, most {} us; {}",
        caught.len(),
        intended.len(),
        report.sent_per_second,
        us(0.5),
        us(0.99),
        us(1.0),
        if report.fell_behind {
            "it fell behind"
        } else {
            "it kept up"
        }
    ))
}

/// A dispatcher that stands still for so long in the middle of a load: what the load tells, and
/// what one owner that waits for its answers tells of the same time.
pub fn stalled(program: &[OsString], pause: Duration) -> Result<(Report, Report), String> {
    let node = measure::serve_on_own_thread(|| v1::node_server::NodeServer::new(InstantNode))?;
    let tasks = SharedExecutor::default();
    let whole = async {
        let text = |why: std::io::Error| why.to_string();
        let context = SharedContext::new(Capture::new(None).map_err(text)?, &tasks, None);
        let (discovery, address) = Discovery::start(&context).await.map_err(text)?;
        for id in 0..8 {
            discovery.update(Duration::ZERO, measure::endpoint(id, node));
        }
        let folder = tempfile::tempdir().map_err(text)?;
        let file = folder.path().join("dispatcher.sexp");
        let process = Process::start_in(program, &file, &measure::deployment(address, ""))?;
        let measure = Measure {
            program: program.to_vec(),
            rounds: 1,
            seconds: 1.0,
            at_once: 1,
            nodes: 8,
            held: 0,
        };
        measure.wait_until_ready(&tasks, process.address).await?;
        let began = Instant::now();
        let phases = format!(
            "(constant (for {} ms) (rate 100))",
            2 * pause.as_millis() + 1_000
        );
        let load = LoadRun {
            plan: plan(&phases, 1)?,
            dispatchers: vec![process.address],
            mode: Loop::Open,
            began,
        };
        let waiting = LoadRun {
            mode: Loop::Closed(1),
            ..load.clone()
        };
        let open = run(&tasks, load, |_, _| {});
        let closed = run(&tasks, waiting, |_, _| {});
        let still = async {
            Timer::at(began + Duration::from_millis(500)).await;
            process.set_paused(true)?;
            Timer::after(pause).await;
            process.set_paused(false)
        };
        let ((open, closed), still) = future::zip(future::zip(open, closed), still).await;
        still?;
        Ok((
            open.map_err(|why| why.to_string())?,
            closed.map_err(|why| why.to_string())?,
        ))
    };
    future::block_on(tasks.run(whole))
}
