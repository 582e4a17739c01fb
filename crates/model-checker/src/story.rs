//! A path as a trace in the style of `tests/traces.rs`.

use crate::life::{Life, Move};
use crate::world::{Listed, World};
use emberflow::{AttemptOutcome, Lifecycle, ProgressNote};
use std::fmt::Write;

/// A test that takes the same path, ready to be pasted among the traces.
pub fn test(world: &World, path: &[(Life, Move)]) -> String {
    let mut text = String::new();
    let name = world.name.replace([' ', '-'], "_");
    let _ = writeln!(text, "#[test]\nfn {name}() {{");
    let setup = match world.setup.text {
        "{}" => "|_, _, _| ()".to_owned(),
        body => format!("|fleet, classes, attempt_limits| {body}"),
    };
    let _ = writeln!(text, "    let mut trace = Trace::small(&{:?}, {setup});", world.engines);
    let mut at = None;
    for (life, step) in path {
        let Some(words) = words(world, life, step) else { continue };
        let now = life.now.as_millis() as u64;
        let moved = if at.replace(now) == Some(now) { String::new() } else { format!(".at({now})") };
        let _ = writeln!(text, "    trace{moved}{words};");
    }
    text + "    expect![[\"\"]].assert_eq(&trace.decided());\n}\n"
}

/// One step, and the draw before it where chance counts.
fn words(world: &World, life: &Life, step: &Move) -> Option<String> {
    let drawn = |draw: u64, words: String| {
        Some(format!("{}{words}", if draw > 0 { format!(".draw({draw})") } else { String::new() }))
    };
    match *step {
        Move::Arrive { draw } => {
            let asks = &world.requests[life.requests.len()];
            drawn(
                draw,
                format!(".accept_keyed({}, {}, {:?}, {:?})", asks.class, asks.cost, asks.memory, asks.key),
            )
        }
        Move::End { request, end, draw } => {
            let truth = &life.requests[request];
            let (attempt, engine) =
                (truth.attempts.len() - 1, truth.attempts[truth.attempts.len() - 1].engine);
            let how = if truth.open() || end == AttemptOutcome::Succeeded { "ended" } else { "ended_over" };
            drawn(draw, format!(".{how}({request}, {attempt}, {engine}, AttemptOutcome::{end:?})"))
        }
        Move::Note { request, notice, draw } => {
            let attempt = life.requests[request].attempts.len() - 1;
            let notice = match notice {
                ProgressNote::Running => "Running".to_owned(),
                ProgressNote::Fraction(part) => format!("Fraction({part:?})"),
                ProgressNote::Spilling(missing) => format!("Spilling({missing:?})"),
                ProgressNote::WaitingForMemory => "WaitingForMemory".to_owned(),
                ProgressNote::WaitingForLoad => "WaitingForLoad".to_owned(),
            };
            drawn(draw, format!(".progress_noted({request}, {attempt}, ProgressNote::{notice})"))
        }
        Move::List { engine, what, draw } => {
            let launched = life.sites[engine].launched.map(|at| at.as_millis());
            let (lifecycle, launched) = match what {
                Listed::Drains => (Lifecycle::Draining, launched),
                Listed::Gone => (Lifecycle::Gone, launched),
                Listed::Back => (Lifecycle::Ready, launched),
                Listed::Anew => (Lifecycle::Ready, Some(life.now.as_millis())),
            };
            drawn(draw, format!(".tell({engine}, Lifecycle::{lifecycle:?}, {launched:?})"))
        }
        Move::ListLost => Some(".list_lost()".to_owned()),
        Move::ListFailed => Some(".endpoint_list_failed()".to_owned()),
        Move::Leave { request, draw } => drawn(draw, format!(".left({request})")),
        Move::Wake { draw } => drawn(draw, ".woken()".to_owned()),
        Move::Close => {
            let by = life.now + world.classes[0].deadline;
            Some(format!(".shutting_down({})", by.as_millis()))
        }
        Move::Pass => None,
    }
}
