//! The order of turns: start-time fair queueing of firms, and of the teams within each, by the work that was let
//! go for them against their shares. It knows nothing of requests but their work.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Whether a budget bears the next request; one that does not stands behind all that do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Band {
    Within,
    Spent,
}

/// What a party that wants a turn stands at: its band, the virtual time at which its turn starts less the ground
/// it has gained, and itself.
type Place = (Band, i64, usize);

#[derive(Clone, Debug)]
struct Party {
    share: f64,
    /// Virtual nanoseconds at which its next turn starts.
    start: i64,
    place: Option<Place>,
}

/// Parties that take turns by their shares.
#[derive(Clone, Debug, Default)]
pub struct Order {
    parties: Vec<Party>,
    waiting: BTreeSet<Place>,
    /// Where the turns have come to.
    at: i64,
}

/// Work in seconds as virtual nanoseconds of a share.
fn stretch(work: f64, share: f64) -> i64 {
    (work * 1e9 / share) as i64
}

impl Order {
    /// Shares count against their sum.
    pub fn of(shares: impl Iterator<Item = f64> + Clone) -> Self {
        let sum: f64 = shares.clone().sum();
        let party = |share| Party { share: share / sum, start: 0, place: None };
        Self { parties: shares.map(party).collect(), ..Self::default() }
    }

    /// A party wants a turn, at what it has gained (in seconds of its work), or stands at something else now.
    pub fn wants(&mut self, party: usize, band: Band, gained: f64) {
        let at = self.at;
        let row = &mut self.parties[party];
        let was = row.place.map(|(band, ..)| band);
        if was.is_none() || was > Some(band) {
            // What it did not use while it wanted nothing, or had spent its budget, is not owed to it.
            row.start = row.start.max(at);
        }
        let place = (band, row.start.saturating_sub(stretch(gained, row.share)), party);
        if row.place != Some(place) {
            if let Some(old) = row.place.replace(place) {
                self.waiting.remove(&old);
            }
            self.waiting.insert(place);
        }
    }

    pub fn wants_nothing(&mut self, party: usize) {
        if let Some(old) = self.parties[party].place.take() {
            self.waiting.remove(&old);
        }
    }

    /// Its turn has come to so much work, or came to more or less than was charged.
    pub fn charge(&mut self, party: usize, work: f64) {
        let row = &mut self.parties[party];
        let start = row.start;
        row.start = start.saturating_add(stretch(work, row.share));
        if let Some((band, place, _)) = row.place {
            let moved = (band, place.saturating_add(row.start - start), party);
            self.waiting.remove(&(band, place, party));
            self.waiting.insert(moved);
            self.parties[party].place = Some(moved);
        }
    }

    /// A turn of this party begins.
    pub fn turn(&mut self, party: usize) {
        // One that has gained ground does not take the others' time with it.
        let first = self.waiting.first().map_or(party, |(.., first)| *first);
        self.at = self.at.max(self.parties[party].start.min(self.parties[first].start));
    }

    /// Those that want a turn, the next first.
    pub fn turns(&self) -> impl Iterator<Item = usize> {
        self.waiting.iter().map(|(.., party)| *party)
    }

    pub fn band(&self, party: usize) -> Option<Band> {
        self.parties[party].place.map(|(band, ..)| band)
    }

    pub fn share(&self, party: usize) -> f64 {
        self.parties[party].share
    }

    /// Feeds the state to `into`: orders that print alike go on alike.
    pub fn fingerprint(&self, into: &mut impl Hasher) {
        let parties = self.parties.iter().map(|party| {
            let since = |at: i64| at - self.at;
            // An idle one that is behind starts from where the turns have come to.
            let start = if party.place.is_none() { since(party.start).max(0) } else { since(party.start) };
            (start, party.place.map(|(band, at, _)| (band, since(at))))
        });
        parties.for_each(|party| party.hash(into));
    }

    /// Virtual time until a party's next turn starts, from another's: above 0 where it comes later.
    pub fn lag(&self, party: usize, from: usize) -> f64 {
        (self.parties[party].start - self.parties[from].start) as f64 / 1e9
    }
}
