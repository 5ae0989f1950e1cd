//! Prints what asks cost the decisions alone: one of them, and a second of many that wait. Virtual
//! clock, real processor time of one thread. `--quick`: fewer virtual seconds.

use corkspan_testbed::capacity::scheduling_cost::{
    Changes, Point, Similarity, WaitingRequests, request_cost,
};

fn print(place: &str, point: Option<Point>) {
    match point {
        Some(Point {
            figure,
            x,
            value,
            unit,
        }) => {
            println!("| {figure} | {place} | {x} | {value:.3} {unit} |")
        }
        None => println!("| spoilt | {place} | - | - |"),
    }
}

fn main() {
    let quick = std::env::args().any(|option| option == "--quick");
    let seconds = if quick { 2 } else { 10 };
    println!("| figure | place | x | value |\n| --- | --- | --- | --- |");
    for machines in [140, 400, 1_300, 2_600] {
        print("machines", request_cost(machines, true, 1_000));
        print("machines", request_cost(machines, false, 1_000));
    }
    for by_turns in [false, true] {
        for similarity in [Similarity::Few, Similarity::None] {
            for waiting in [100, 300, 1_000, 3_000, 4_300] {
                // Where all are looked at whole, seconds of thousands take minutes.
                let seconds = if waiting > 300 {
                    seconds.min(2)
                } else {
                    seconds
                };
                let changes = match waiting {
                    300 => vec![
                        Changes::Nothing,
                        Changes::Reports(13),
                        Changes::Reports(130),
                        Changes::Ends(3),
                        Changes::Ends(30),
                        Changes::Deadlines(30),
                    ],
                    _ => vec![Changes::Nothing],
                };
                for changes in changes {
                    let place = format!(
                        "1,300 machines, likes: {similarity:?}, by turns: {by_turns}, {changes:?}"
                    );
                    print(
                        &place,
                        WaitingRequests {
                            machines: 1_300,
                            waiting,
                            similarity,
                            changes,
                            by_turns,
                        }
                        .share_of_core(seconds),
                    );
                }
            }
        }
    }
}
