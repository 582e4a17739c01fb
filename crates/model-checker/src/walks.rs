//! All worlds, of whatever they are made, as the command line sees them.

use crate::connection_model::{self, Connections};
use crate::house::{self, House};
use crate::paper::{self, Paper};
use crate::places::PLACES;
use crate::search::{Bounds, Extent, Walk, walk};
use crate::turns::{self, Turns};
use crate::world::World;
use crate::{laws, story, witness};
use std::fmt::Debug;
use std::time::Duration;

pub struct Entry {
    pub name: &'static str,
    pub says: &'static str,
    pub short: bool,
    pub walk: Box<dyn Fn(Duration, u64) -> Told>,
    /// Takes a path that was told.
    pub follow: Follow,
}

/// Tells the law that breaks on the way, or a step that the world does not allow.
pub type Follow = Box<dyn Fn(&str) -> Result<(), String>>;

/// What a walk came to.
pub struct Told {
    pub extent: Extent,
    /// The law, the number of steps, and the path in words.
    pub broken: Option<(&'static str, usize, String)>,
}

fn told<W: Walk>(world: &W, bounds: Bounds, path: impl Fn(&[(W::State, W::Move)]) -> String) -> Told {
    let report = walk(world, bounds);
    Told {
        extent: report.extent,
        broken: report.found.map(|found| (found.law, found.path.len(), path(&found.path))),
    }
}

/// A path as a test, ready to be pasted into `tests/walk.rs`: a line a step.
fn test<S, M: Debug>(world: &str, path: &[(S, M)]) -> String {
    let name: String = world.chars().map(|c| if c.is_alphanumeric() { c } else { '_' }).collect();
    let steps: String = path.iter().map(|(_, step)| format!("        {step:?}\n")).collect();
    format!("#[test]\nfn {name}_holds() {{\n    follow({world:?}, r#\"\n{steps}    \"#);\n}}\n")
}

/// Takes the steps that are told, a line each, among those that the world allows; the law that breaks on the
/// way, and a step that is not among them.
fn followed<W: Walk>(world: &W, steps: &str) -> Result<(), String>
where
    W::Move: Debug,
{
    let mut state = world.start();
    for step in steps.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let mut moves = Vec::new();
        world.moves(&state, &mut moves);
        let taken = moves.iter().find(|told| format!("{told:?}") == step);
        state = world.step(&state, taken.ok_or_else(|| format!("{step} is not among {moves:?}"))?);
        if let Some(law) = world.broken(&state, false) {
            return Err(format!("{law} is broken at {step}"));
        }
    }
    Ok(())
}

/// A world without a trace of its own kind, as an entry.
fn entry<W: Walk>(
    name: &'static str,
    says: &'static str,
    short: bool,
    depth: Option<usize>,
    world: &'static W,
) -> Entry
where
    W::Move: Debug,
{
    let walk = move |time, memory_mb| told(world, Bounds { time, memory_mb, depth }, |path| test(name, path));
    Entry { name, says, short, walk: Box::new(walk), follow: Box::new(|steps| followed(world, steps)) }
}

pub fn entries() -> Vec<Entry> {
    let module = PLACES.iter().map(|place| Entry {
        name: place.name,
        says: place.says,
        short: place.short,
        walk: Box::new(move |time, memory_mb| {
            let world = World::of(place);
            told(&world, Bounds { time, memory_mb, depth: place.depth }, |path| story::test(&world, path))
        }),
        follow: Box::new(move |steps| followed(&World::of(place), steps)),
    });
    let connections = |world: &'static Connections| entry(world.name, world.says, world.short, None, world);
    let houses = |world: &'static House| entry(world.name, world.says, world.short, world.depth, world);
    let papers = |world: &'static Paper| entry(world.name, world.says, world.short, None, world);
    let worlds = module.chain(connection_model::WORLDS.iter().map(connections));
    let teams = |world: &'static Turns| entry(world.name, world.says, world.short, None, world);
    let worlds = worlds.chain(house::WORLDS.iter().map(houses)).chain(paper::WORLDS.iter().map(papers));
    worlds.chain(turns::WORLDS.iter().map(teams)).collect()
}

/// All laws, by name and in words, and the bit that tells whether one was put to the test.
pub fn laws() -> impl Iterator<Item = (&'static str, &'static str, usize)> {
    let module = laws::LAWS.iter().map(|law| (law.name, law.says)).zip(witness::MODULE..);
    let connections = connection_model::LAWS.iter().map(|law| (law.0, law.1)).zip(witness::CONNECTIONS..);
    let house = house::LAWS.iter().map(|law| (law.0, law.1)).zip(witness::HOUSE..);
    let paper = paper::LAWS.iter().map(|law| (law.0, law.1)).zip(witness::PAPER..);
    let turns = turns::LAWS.iter().map(|law| (law.0, law.1)).zip(witness::TURNS..);
    module
        .chain(connections)
        .chain(house)
        .chain(paper)
        .chain(turns)
        .map(|((name, says), at)| (name, says, at))
}
