//! Teams at their hardest on sockets: one of four sends ten times its share. The same is sent to a router without
//! teams and to one with them, and what became of it is compared.

use crate::clients::{Client, Fate, Habit, How};
use crate::demo::{Demo, table};
use std::time::{Duration, Instant};

const TEAMS: [&str; 4] = ["audit", "payroll", "posting", "tax"];
const ORDERS: &str = "{teams: {
    list: [{name: 'audit'}, {name: 'payroll'}, {name: 'posting'}, {name: 'tax'}],
    waits: {field: 'tell_wait', every_s: 3600},
}}";
const ENGINES: u32 = 3;

/// Three engines of four cores do some 12 seconds of work in one: a share is 3. The flood sends 30, the others a
/// little more than theirs; a tenth of a team's requests are urgent look-ups.
fn clients(seed: u64) -> Vec<Client> {
    // The flood comes on four connections, since one carries only so many open requests.
    let sends = [("audit", 2.5); 4].into_iter().chain(TEAMS[1..].iter().map(|team| (*team, 1.2)));
    let client = |(at, (team, times)): (usize, (&'static str, f64))| {
        let habit = |class, rate: f64, work_ms, need_mb, urgency| Habit {
            class,
            rate: rate * times,
            work_ms,
            need_mb,
            urgency,
            deadline_ms: 12_000,
        };
        let habits = vec![habit("report", 8.0, 300.0, 300.0, 0), habit("lookup", 1.0, 20.0, 40.0, 2)];
        Client { team, asks: Some("tell_wait"), habits, seed: seed.wrapping_add(at as u64), tries: 0 }
    };
    sends.enumerate().map(client).collect()
}

fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values.get(((values.len() as f64 - 1.0) * part).round() as usize).copied().unwrap_or(0.0)
}

/// Each team's work that began in each window of ten seconds, against an equal share; the worst, and Jain's
/// index over all. The first window fills the queues, and the last one may be cut short.
fn fairness(fates: &[Fate], lasts: Duration) -> (f64, f64) {
    let begun: Vec<(Instant, &str, f64)> =
        fates.iter().filter_map(|fate| Some((fate.began?, fate.team, fate.work))).collect();
    let Some(first) = begun.iter().map(|(at, ..)| *at).min() else { return (1.0, 0.0) };
    let (mut worst, mut sum, mut squares, mut count): (f64, f64, f64, f64) = (0.0, 0.0, 0.0, 0.0);
    for window in 1..lasts.as_secs() / 10 {
        let within = |at: Instant| (at - first).as_secs() / 10 == window;
        let of = |team: &str| -> f64 {
            begun.iter().filter(|(at, by, _)| *by == team && within(*at)).map(|(.., work)| work).sum()
        };
        let all: f64 = TEAMS.iter().map(|team| of(team)).sum();
        for team in TEAMS {
            let had = of(team) / all.max(1e-9) * TEAMS.len() as f64;
            worst = worst.max((had - 1.0).abs());
            (sum, squares, count) = (sum + had, squares + had * had, count + 1.0);
        }
    }
    (worst, sum * sum / (count * squares).max(1e-9))
}

/// Runs both and tells the figures.
pub fn run(lasts: Duration, seed: u64) -> Result<String, String> {
    let mut text = String::new();
    for (name, orders) in [("without teams", None), ("with teams", Some(ORDERS.to_owned()))] {
        let demo = Demo { lasts, seed, engines: ENGINES, orders, clients, loses: false };
        let fates = demo.run(std::io::stderr())?;
        let done = |fate: &&Fate| fate.how == How::Succeeded;
        let seconds = |fate: &Fate| fate.wait.map(|wait| wait.as_secs_f64());
        let mut urgent: Vec<f64> =
            fates.iter().filter(done).filter(|fate| fate.urgent).filter_map(seconds).collect();
        let told: Vec<_> =
            fates.iter().filter(done).filter_map(|fate| fate.told).filter(|told| told.likely > 0.1).collect();
        let mut errors: Vec<f64> = told.iter().map(|told| (told.had / told.likely - 1.0).abs()).collect();
        let within = told.iter().filter(|told| (told.least..=told.most).contains(&told.had)).count();
        let (worst, jain) = fairness(&fates, lasts);
        text += &format!("{name}, seed {seed}, {} s, {ENGINES} engines\n{}", lasts.as_secs(), table(&fates));
        text += &format!(
            "served {}, worst share of ten seconds {:.1} % off, Jain {jain:.3}, urgent wait p99 {:.3} s\n",
            fates.iter().filter(done).count(),
            worst * 100.0,
            quantile(&mut urgent, 0.99)
        );
        if !told.is_empty() {
            text += &format!(
                "{} waits told over 0.1 s: {:.0} % off in the median, {:.0} % within the range\n",
                told.len(),
                quantile(&mut errors, 0.5) * 100.0,
                within as f64 / told.len() as f64 * 100.0
            );
        }
        text.push('\n');
    }
    Ok(text)
}
