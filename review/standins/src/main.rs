//! Plays one case of the review: `review-standins CASE RECORD`. Without trouble if `TROUBLE=0`.
//! Exits with 1 if the case's rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod feed;
mod node;
mod sites;
mod world;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        world::give_up("usage: review-standins CASE RECORD");
    };
    // Whatever happens, the case ends in time and leaves no process behind.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        world::give_up("it did not end in time");
    });
    std::panic::set_hook(Box::new(|panic| world::give_up(&panic.to_string())));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let broken = cases::play(&case, &record, trouble);
    std::process::exit(i32::from(broken));
}
