//! Case 9.

use super::*;

/// Bad clients send hundreds of requests at once. The platform ends a dispatcher that is over its
/// limit of memory.
pub fn run(trouble: bool) -> Outcome {
    const LIMIT_MB: u64 = 64;
    const CLIENTS: u64 = 20;
    const REQUESTS: u64 = 250;
    let (_nodes, feed) = start_nodes(4, 200);
    let settings = Settings {
        memory_mb: LIMIT_MB,
        ..Settings::default()
    };
    let dispatcher = Dispatcher::start(0, &settings, &feed)?;
    let owner = connect_owner("owner", &dispatcher)?;
    let mut bad = Vec::new();
    if trouble {
        for number in 0..CLIENTS {
            bad.push(connect(&format!("bad{number}"), &dispatcher)?);
        }
    }
    std::thread::scope(|scope| {
        for (number, client) in bad.iter().enumerate() {
            scope.spawn(move || {
                let mut bytes = Vec::new();
                for request in 0..REQUESTS {
                    let task = 0xbad0_0000_0000 + number as u64 * 1_024 + request;
                    let mut set_up = SetUp::new(task, "batch", 6_000);
                    // No message holds more than 16 KiB.
                    set_up.text = "x".repeat(16_000);
                    bytes.extend(client::encode_set_up(&set_up));
                }
                record::line(&format!("{}: {REQUESTS} requests at once", client.name));
                client.write(&bytes);
            });
        }
    });
    let mut broken = Vec::new();
    let (mut most, mut task) = (0.0, 0x9b1f_03aa_5c7e_0000);
    for round in 0..100 {
        if round % 10 == 0 {
            task += 1;
            owner.set_up(&SetUp::new(task, "batch", 3_000));
        }
        sleep_ms(50);
        let Some(mb) = dispatcher.memory_mb() else {
            break;
        };
        if round % 10 == 0 {
            record::line(&format!("{}: {mb:.1} MB", dispatcher.name));
        }
        most = f64::max(most, mb);
        if mb > LIMIT_MB as f64 {
            record::say(&format!(
                "{}: {mb:.1} MB are over the limit of {LIMIT_MB} MB",
                dispatcher.name
            ));
            dispatcher.signal(sys::SIGKILL);
            dispatcher.wait_end(ms(2_000));
            broken.push(format!(
                "killed for {mb:.1} MB with a limit of {LIMIT_MB} MB"
            ));
            break;
        }
    }
    sleep_ms(200);
    if broken.is_empty() && !dispatcher.runs() {
        broken.push("the dispatcher has ended".into());
    }
    record::say(&format!("at most {most:.1} MB"));
    Ok(broken)
}
