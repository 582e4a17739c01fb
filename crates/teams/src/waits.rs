//! How long a wait will be: from the work ahead, the pace of what was let go lately, and how what was told lately
//! compares with what was had.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// A wait as it is told: nine in ten should fall within `least` and `most`; `place` counts the requests of the same
/// team that stand before it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    pub least: Duration,
    pub likely: Duration,
    pub most: Duration,
    pub place: usize,
}

/// Samples that are kept of each measurement.
const KEPT: usize = 128;
const LONGEST: f64 = 366.0 * 24.0 * 3600.0;
/// Fewer say nothing of the pace.
const FEWEST: usize = 8;
/// What is believed of a reckoned wait before any was had.
const DOUBTS: [f64; 3] = [0.5, 1.0, 2.0];

#[derive(Clone, Debug)]
pub struct Pace {
    /// When work was let go, and how much, in seconds.
    gone: VecDeque<(Duration, f64)>,
    /// Waits had against waits reckoned, of those that were let go last.
    had: VecDeque<f64>,
}

impl Default for Pace {
    fn default() -> Self {
        Self { gone: VecDeque::new(), had: DOUBTS.into() }
    }
}

fn keep<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == KEPT {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// The value below which this part of the sorted samples lies.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let at = part * (sorted.len() - 1) as f64;
    let (low, high) = (sorted[at.floor() as usize], sorted[at.ceil() as usize]);
    low + (high - low) * at.fract()
}

impl Pace {
    /// Work was let go, after a wait that had been reckoned as so many seconds.
    pub fn let_go(&mut self, now: Duration, work: f64, waited: Duration, reckoned: Option<f64>) {
        keep(&mut self.gone, (now, work));
        if let Some(reckoned) = reckoned.filter(|reckoned| *reckoned > 0.0) {
            // Guards against a wait reckoned as next to nothing: one sample says no more than tenfold.
            keep(&mut self.had, (waited.as_secs_f64() / reckoned).clamp(0.1, 10.0));
        }
    }

    /// What was let go came back, or came to more or less.
    pub fn correct(&mut self, work: f64) {
        if let Some((_, last)) = self.gone.back_mut() {
            *last += work;
        }
    }

    /// Seconds of work let go in a second; none before there is something to go by.
    pub fn rate(&self, now: Duration) -> Option<f64> {
        let (first, _) = self.gone.front().filter(|_| self.gone.len() >= FEWEST)?;
        let work: f64 = self.gone.iter().skip(1).map(|(_, work)| work).sum();
        let span = now.saturating_sub(*first).as_secs_f64();
        (span > 0.0 && work > 0.0).then(|| work / span)
    }

    /// The mean work of what was let go lately, in seconds.
    pub fn usual(&self) -> f64 {
        self.gone.iter().map(|(_, work)| work).sum::<f64>() / self.gone.len().max(1) as f64
    }

    /// Feeds the state to `into`, with times told from `now`: paces that print alike go on alike.
    pub fn fingerprint(&self, now: Duration, into: &mut impl Hasher) {
        self.gone.iter().for_each(|(at, work)| (now.saturating_sub(*at), work.to_bits()).hash(into));
        self.had.iter().for_each(|ratio| ratio.to_bits().hash(into));
    }

    /// A wait reckoned as so many seconds, as it may be told.
    pub fn told(&self, reckoned: f64, place: usize) -> Wait {
        let mut ratios: Vec<f64> = self.had.iter().copied().collect();
        ratios.sort_unstable_by(f64::total_cmp);
        let at = |part| {
            // Nobody waits for a year.
            Duration::from_secs_f64((reckoned * quantile(&ratios, part)).min(LONGEST))
        };
        Wait { least: at(0.03), likely: at(0.5), most: at(0.97), place }
    }
}
