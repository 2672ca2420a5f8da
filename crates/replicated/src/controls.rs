//! The controls of the mesh, as replicated state: their addresses, and which of them hold the seats
//! of the groups' voters.

use std::{collections, net, time};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// How long the holder of a seat may answer nothing until another control takes the seat over. The
/// group has a leader and a majority meanwhile, so this is longer than most pauses.
pub const MAX_SILENCE: time::Duration = time::Duration::from_secs(2);
/// How long a control without a seat may answer nothing until it is removed. It is added again when
/// it returns.
pub const REMOVAL_SILENCE: time::Duration = time::Duration::from_secs(10);
/// The most controls of a mesh.
pub const MAX_CONTROLS: usize = 4_096;

/// Where a control is and where it is reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Place {
    /// The name of its region.
    pub region: CompactString,
    /// The name of its data centre.
    pub data_centre: CompactString,
    /// The address on which it listens for other processes.
    pub addr: net::SocketAddr,
}

/// The seats that a control holds. The number of seats of a mesh never changes: they move from one
/// control to another of the same data centre, or with a control to another data centre.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Seats {
    /// It is to vote in the configuration group.
    pub configuration: bool,
    /// It is to vote in the claims group of its region.
    pub claims: bool,
}

impl Seats {
    /// Whether it holds any seat.
    pub fn any(self) -> bool {
        self.configuration || self.claims
    }
}

/// A control of the mesh.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Control {
    /// The name of its host.
    pub name: CompactString,
    /// Where it is.
    pub place: Place,
    /// The seats that it holds.
    pub seats: Seats,
}

/// A change of the controls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Sets the controls of a mesh that has none yet.
    Form(Vec<Control>),
    /// Adds a control without a seat, or gives the control of that name another place. It keeps its
    /// seats: operators start a control elsewhere under its old name when a data centre is lost.
    Join {
        /// The name of its host.
        name: CompactString,
        /// Where it is.
        place: Place,
    },
    /// Moves the seats of a control to another one of its data centre that has none.
    Move {
        /// The control that loses its seats.
        from: CompactString,
        /// The control that gets them.
        to: CompactString,
    },
    /// Removes a control that has no seat.
    Remove(CompactString),
}

/// Whether a command changed the controls.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// It did.
    Changed,
    /// The controls were so already.
    Unchanged,
    /// The command does not fit the controls, so nothing was changed.
    Rejected,
}

/// What the leader of the configuration group knows of another control.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// The name of its host.
    pub name: CompactString,
    /// Time since the leader sent the last message that it has answered.
    pub silence: time::Duration,
    /// Whether its disk holds everything that is committed.
    pub current: bool,
    /// Whether it has said that it is about to stop.
    pub leaving: bool,
}

/// The controls of the mesh, by the names of their hosts. Empty until the first leader has set
/// them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Controls {
    list: collections::BTreeMap<CompactString, Control>,
    /// Increases with each change.
    revision: u64,
}

impl Controls {
    /// The number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The control with this name.
    pub fn get(&self, name: &str) -> Option<&Control> {
        self.list.get(name)
    }

    /// All controls, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Control> {
        self.list.values()
    }

    /// Whether the controls have not been set yet.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Applies a command of the log.
    pub fn apply(&mut self, command: &Command) -> Answer {
        let answer = match command {
            Command::Form(controls) => self.form(controls),
            Command::Join { name, place } => self.join(name, place),
            Command::Move { from, to } => self.move_seats(from, to),
            Command::Remove(name) => self.remove(name),
        };
        if answer == Answer::Changed {
            self.revision += 1;
        }
        answer
    }

    fn form(&mut self, controls: &[Control]) -> Answer {
        if !self.is_empty() {
            return Answer::Unchanged;
        }
        if controls.is_empty() || controls.len() > MAX_CONTROLS {
            return Answer::Rejected;
        }
        self.list = controls.iter().map(|it| (it.name.clone(), it.clone())).collect();
        Answer::Changed
    }

    fn join(&mut self, name: &CompactString, place: &Place) -> Answer {
        if let Some(known) = self.list.get_mut(name) {
            if known.place == *place {
                return Answer::Unchanged;
            }
            known.place = place.clone();
            return Answer::Changed;
        }
        if self.is_empty() || self.list.len() >= MAX_CONTROLS {
            return Answer::Rejected;
        }
        let control = Control { name: name.clone(), place: place.clone(), seats: Seats::default() };
        self.list.insert(name.clone(), control);
        Answer::Changed
    }

    fn move_seats(&mut self, from: &str, to: &str) -> Answer {
        let (Some(old), Some(new)) = (self.list.get(from), self.list.get(to)) else {
            return Answer::Rejected;
        };
        if !old.seats.any() || !can_succeed(old, new) {
            return Answer::Rejected;
        }
        let seats = old.seats;
        for (name, seats) in [(from, Seats::default()), (to, seats)] {
            if let Some(control) = self.list.get_mut(name) {
                control.seats = seats;
            }
        }
        Answer::Changed
    }

    fn remove(&mut self, name: &str) -> Answer {
        match self.list.get(name) {
            None => Answer::Unchanged,
            Some(it) if it.seats.any() => Answer::Rejected,
            Some(_) => {
                self.list.remove(name);
                Answer::Changed
            }
        }
    }

    /// Whether a control without a seat can take over the seats of the control `name`.
    pub fn has_successor(&self, name: &str) -> bool {
        let Some(control) = self.get(name).filter(|it| it.seats.any()) else { return false };
        self.iter().any(|it| can_succeed(control, it))
    }

    /// The command by which a control joins, if it has to: this list does not have it at `place`,
    /// or the list may be too old to tell. `silence` is the time since the control last knew what
    /// is committed, if it did since its start. One that was removed meanwhile gets no log, so it
    /// cannot know of that.
    pub fn next_join(
        &self,
        name: &CompactString,
        place: &Place,
        silence: Option<time::Duration>,
    ) -> Option<Command> {
        let listed = self.get(name).is_some_and(|it| it.place == *place);
        let recent = silence.is_some_and(|it| it < REMOVAL_SILENCE);
        (!listed || !recent).then(|| Command::Join { name: name.clone(), place: place.clone() })
    }

    /// The next change that follows from what the leader observes of the other controls, if any.
    ///
    /// A seat moves when its holder is about to stop or has answered nothing for [`MAX_SILENCE`],
    /// to a control of the same data centre whose disk holds the log. Whether the holder is gone or
    /// cut off makes no difference: it can join again without a seat.
    pub fn next_change(&self, observed: &[Observation]) -> Option<Command> {
        self.next_move(observed).or_else(|| self.next_removal(observed))
    }

    fn next_move(&self, observed: &[Observation]) -> Option<Command> {
        let gone = |it: &&Observation| it.leaving || it.silence >= MAX_SILENCE;
        for old in observed.iter().filter(gone) {
            let Some(holder) = self.get(&old.name).filter(|it| it.seats.any()) else { continue };
            let ready = |it: &&Observation| {
                it.current
                    && !gone(it)
                    && self.get(&it.name).is_some_and(|it| can_succeed(holder, it))
            };
            let successor = observed.iter().filter(ready).min_by_key(|it| it.silence);
            if let Some(successor) = successor {
                return Some(Command::Move { from: old.name.clone(), to: successor.name.clone() });
            }
        }
        None
    }

    fn next_removal(&self, observed: &[Observation]) -> Option<Command> {
        let silent = |it: &&Observation| it.silence >= REMOVAL_SILENCE;
        let seatless = |it: &&Observation| self.get(&it.name).is_some_and(|it| !it.seats.any());
        let gone = observed.iter().filter(silent).find(seatless)?;
        Some(Command::Remove(gone.name.clone()))
    }
}

fn can_succeed(holder: &Control, successor: &Control) -> bool {
    !successor.seats.any()
        && holder.name != successor.name
        && holder.place.data_centre == successor.place.data_centre
}
