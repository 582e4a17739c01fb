//! What firms and teams are granted, and what of it makes no sense.

use std::time::Duration;

/// Work that a team may have done in a period; what it spares builds up to `burst`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    pub work: Duration,
    pub over: Duration,
    pub burst: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Firm {
    /// Against those of the other firms.
    pub share: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub firm: usize,
    /// Against those of the firm's other teams.
    pub share: f64,
    pub allowance: Option<Allowance>,
    /// Requests of it that may wait.
    pub most_waiting: usize,
}

/// All firms and teams, by their numbers. The first team takes what names none that is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Charter {
    pub firms: Vec<Firm>,
    pub teams: Vec<Team>,
}

/// Shares beyond this against another's say no more than that the other gets nothing.
const LARGEST_SHARE: f64 = 1e6;
/// No period, budget or queue is larger.
const LONGEST: Duration = Duration::from_secs(366 * 24 * 3600);
const MOST_WAITING: usize = 10_000_000;

impl Charter {
    /// The first thing that makes no sense: where it stands, and what was expected.
    pub fn fault(&self) -> Option<(String, &'static str)> {
        let share = |share: f64| share.is_finite() && share > 0.0 && share <= LARGEST_SHARE;
        let wrong = |at: &str, expected| Some((at.to_owned(), expected));
        if self.firms.is_empty() || self.teams.is_empty() {
            return wrong("teams", "at least one firm and one team");
        }
        if let Some(at) = self.firms.iter().position(|firm| !share(firm.share)) {
            return wrong(&format!("firms[{at}].share"), "a number above 0, up to a million");
        }
        for (at, team) in self.teams.iter().enumerate() {
            let here = |what: &str| format!("teams[{at}].{what}");
            if team.firm >= self.firms.len() {
                return wrong(&here("firm"), "a firm of the list");
            }
            if !share(team.share) {
                return wrong(&here("share"), "a number above 0, up to a million");
            }
            if !(1..=MOST_WAITING).contains(&team.most_waiting) {
                return wrong(&here("most_waiting"), "a count from 1 to ten millions");
            }
            let Some(Allowance { work, over, burst }) = team.allowance else { continue };
            if work.is_zero() || work > LONGEST {
                return wrong(&here("budget.work"), "a time above 0, up to a year");
            }
            if over.is_zero() || over > LONGEST {
                return wrong(&here("budget.over"), "a time above 0, up to a year");
            }
            if burst.is_zero() || burst > LONGEST {
                return wrong(&here("budget.burst"), "a time above 0, up to a year");
            }
        }
        None
    }

    /// A team's part of everything, where all firms and teams want something.
    pub fn part(&self, team: usize) -> f64 {
        let Team { firm, share, .. } = self.teams[team];
        let firms: f64 = self.firms.iter().map(|firm| firm.share).sum();
        let mates: f64 = self.teams.iter().filter(|mate| mate.firm == firm).map(|mate| mate.share).sum();
        self.firms[firm].share / firms * share / mates
    }
}
