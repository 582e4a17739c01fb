//! A stand-in client: it sends requests of several kinds at a rate, reads the answers, and comes again after a
//! reject when it was told to. What it sends is the same for a seed; when it is answered is not.

use crate::engine::{Run, Runs};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// One kind of work that a client sends: requests a second, their median work in milliseconds and memory in MB.
#[derive(Clone, Copy, Debug)]
pub struct Habit {
    pub class: &'static str,
    pub rate: f64,
    pub work_ms: f64,
    pub need_mb: f64,
    pub urgency: u8,
    pub deadline_ms: u64,
}

pub struct Client {
    pub team: &'static str,
    /// The field by which it asks to be told of its waits, if it does.
    pub asks: Option<&'static str>,
    pub habits: Vec<Habit>,
    pub seed: u64,
    /// How often it comes again after a rejection.
    pub tries: u32,
}

/// What became of a request: `wait` until it began to run for the last time, `run` from then.
#[derive(Clone, Debug)]
pub struct Fate {
    pub team: &'static str,
    pub class: &'static str,
    pub how: How,
    pub wait: Option<Duration>,
    pub run: Option<Duration>,
    pub urgent: bool,
    /// When it began to run for the last time, and its work in seconds.
    pub began: Option<Instant>,
    pub work: f64,
    pub told: Option<Told>,
}

/// The first wait that was told, in seconds, and the one that was had from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    pub least: f64,
    pub likely: f64,
    pub most: f64,
    pub had: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum How {
    Succeeded,
    Rejected,
    Failed,
    Refused,
    Unanswered,
}

struct Open {
    habit: Habit,
    req: String,
    line: Value,
    sent: Instant,
    tries: u32,
    work: f64,
    told: Option<(Instant, Told)>,
}

/// A connection carries only so many open requests.
const MOST_OPEN: usize = 32;
/// An answer is waited for so long after the deadline has ended.
const LAST: Duration = Duration::from_secs(1);

impl Client {
    /// Sends for so long and tells the fate of all that was sent.
    pub fn run(&self, router: SocketAddr, lasts: Duration, runs: &Runs) -> std::io::Result<Vec<Fate>> {
        let mut chance = StdRng::seed_from_u64(self.seed);
        let mut ahead: Vec<(Duration, Habit, f64, f64)> = Vec::new();
        let spread = LogNormal::new(0.0, 0.5).expect("a spread");
        for habit in &self.habits {
            let gap = Exp::new(habit.rate).expect("a rate above 0");
            let mut at = gap.sample(&mut chance);
            while at < lasts.as_secs_f64() {
                let work = habit.work_ms * spread.sample(&mut chance);
                let need = habit.need_mb * spread.sample(&mut chance);
                ahead.push((Duration::from_secs_f64(at), *habit, work, need));
                at += gap.sample(&mut chance);
            }
        }
        ahead.sort_by_key(|(at, ..)| std::cmp::Reverse(*at));
        let mut socket = BufReader::new(TcpStream::connect(router)?);
        socket.get_ref().set_nodelay(true)?;
        socket.get_ref().set_read_timeout(Some(Duration::from_millis(1)))?;
        let (begun, mut fates, mut line) = (Instant::now(), Vec::new(), Vec::new());
        let mut open: BTreeMap<u64, Open> = BTreeMap::new();
        let mut again: Vec<(Instant, Open)> = Vec::new();
        let mut next = 1;
        let overdue =
            |request: &Open| request.sent.elapsed() > Duration::from_millis(request.habit.deadline_ms) + LAST;
        while !(ahead.is_empty() && again.is_empty() && open.values().all(overdue)) {
            // What found no room in its time is not sent later.
            if begun.elapsed() >= lasts {
                ahead.clear();
            }
            while open.len() < MOST_OPEN && ahead.last().is_some_and(|(at, ..)| *at <= begun.elapsed()) {
                let Some((_, habit, work, need)) = ahead.pop() else { break };
                let (id, req) = (next, format!("{:016x}", chance.random::<u64>()));
                next += 1;
                let statement = STANDARD.encode(format!("select work_ms={work:.1} need_mb={need:.1}"));
                let mut line = json!({"jsonrpc": "2.0", "id": id, "method": habit.class, "params": {
                    "team": self.team, "urgency": habit.urgency, "req": req, "timeout": habit.deadline_ms,
                    "ms": work, "memory": need, "data": statement}});
                if let Some(field) = self.asks {
                    line["params"][field] = json!(true);
                }
                writeln!(socket.get_mut(), "{line}")?;
                open.insert(
                    id,
                    Open { habit, req, line, sent: Instant::now(), tries: 0, work: work / 1e3, told: None },
                );
            }
            let due = again.iter().position(|(at, _)| *at <= Instant::now() && open.len() < MOST_OPEN);
            if let Some((_, mut request)) = due.map(|at| again.swap_remove(at)) {
                // With what is left of its deadline.
                let left =
                    request.habit.deadline_ms.saturating_sub(request.sent.elapsed().as_millis() as u64);
                if left == 0 {
                    fates.push(self.fate(&request, How::Rejected, None));
                    continue;
                }
                let id = next;
                next += 1;
                (request.line["id"], request.line["params"]["timeout"]) = (json!(id), json!(left));
                writeln!(socket.get_mut(), "{}", request.line)?;
                open.insert(id, request);
            }
            match socket.read_until(b'\n', &mut line) {
                Ok(0) => break,
                Ok(_) if line.ends_with(b"\n") => {
                    let answer: Value = serde_json::from_slice(&line).unwrap_or_default();
                    line.clear();
                    if answer["method"] == "waiting" {
                        let figure = |name: &str| answer["params"][name].as_f64().unwrap_or(0.0) / 1e3;
                        let (least, likely, most) = (figure("leastMs"), figure("likelyMs"), figure("mostMs"));
                        let told = (Instant::now(), Told { least, likely, most, had: 0.0 });
                        let id = answer["params"]["id"].as_u64().unwrap_or_default();
                        open.entry(id).and_modify(|request| request.told = request.told.or(Some(told)));
                        continue;
                    }
                    let Some(request) = answer["id"].as_u64().and_then(|id| open.remove(&id)) else {
                        continue;
                    };
                    self.answered(&answer, request, runs, &mut again, &mut fates);
                }
                _ => {}
            }
        }
        let left = open.into_values().chain(again.into_iter().map(|(_, request)| request));
        fates.extend(left.map(|request| self.fate(&request, How::Unanswered, None)));
        Ok(fates)
    }

    fn answered(
        &self,
        answer: &Value,
        mut request: Open,
        runs: &Runs,
        again: &mut Vec<(Instant, Open)>,
        fates: &mut Vec<Fate>,
    ) {
        let how = match answer["error"]["code"].as_i64() {
            None => How::Succeeded,
            Some(-32011) => How::Rejected,
            Some(-32000) => How::Failed,
            Some(_) => How::Refused,
        };
        if how == How::Rejected && request.tries < self.tries {
            let holdoff = answer["error"]["data"]["holdoff"].as_u64().unwrap_or(100);
            (request.tries, request.told) = (request.tries + 1, None);
            again.push((Instant::now() + Duration::from_millis(holdoff), request));
            return;
        }
        let run = runs.of(&request.req);
        fates.push(self.fate(&request, how, run));
    }

    fn fate(&self, request: &Open, how: How, run: Option<Run>) -> Fate {
        let began = run.map(|(began, _)| began);
        let wait = began.map(|began| began.saturating_duration_since(request.sent));
        let told = request.told.zip(began).map(|((at, told), began)| {
            let had = began.saturating_duration_since(at).as_secs_f64();
            Told { had, ..told }
        });
        let run = run.and_then(|(began, ended)| Some(ended?.saturating_duration_since(began)));
        let (class, urgent) = (request.habit.class, request.habit.urgency > 0);
        Fate { team: self.team, class, how, wait, run, urgent, began, work: request.work, told }
    }
}
