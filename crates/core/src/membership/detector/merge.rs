//! Takes news in: which of two pieces holds, and what follows from it.

use std::cmp::Ordering;

use crate::membership::detector::{Detector, MOST_MEMBERS, SUSPICION, Step};
use crate::membership::{Change, Member, Standing};

impl Detector {
    /// Takes in what is said of a member.
    pub(super) fn merge(&mut self, news: Member, step: &mut Step<'_>) {
        if news.name == self.members.own().name {
            return self.merge_own(&news, step);
        }
        let Some(known) = self.members.get(&news.name) else {
            return self.meet(news, step);
        };
        match news.incarnation.cmp(&known.incarnation) {
            // The sender is behind, and will hear of the later life.
            Ordering::Less => self.gossip.put(&news.name),
            Ordering::Equal => self.update(&news, step),
            Ordering::Greater => self.succeed(news, step),
        }
    }

    /// Speaks up against news that the own entry is worse off than it is.
    fn merge_own(&mut self, news: &Member, step: &mut Step<'_>) {
        let own = self.members.own_mut();
        match news.incarnation.cmp(&own.incarnation) {
            Ordering::Less => {
                let name = own.name.clone();
                self.gossip.put(&name);
            }
            Ordering::Equal => {
                if (news.version, news.standing) <= (own.version, own.standing) {
                    return;
                }
                own.version = news.version + 1;
                if news.standing == Standing::Gone {
                    step.changes.push(Change::Returned);
                }
                self.announce_own(step);
            }
            Ordering::Greater => {
                if !self.superseded {
                    self.superseded = true;
                    step.changes.push(Change::Superseded);
                }
            }
        }
    }

    /// Takes in a member whose name is new. One that is gone already is of no
    /// interest: keeping it would let news of the dead go round for ever.
    fn meet(&mut self, news: Member, step: &mut Step<'_>) {
        if news.standing == Standing::Gone || self.members.count() >= MOST_MEMBERS {
            return;
        }
        self.join(news, step);
    }

    /// Takes in a later life of a known name.
    fn succeed(&mut self, news: Member, step: &mut Step<'_>) {
        let Some(old) = self.members.get(&news.name) else {
            return;
        };
        if old.standing != Standing::Gone {
            step.changes.push(Change::Gone(old.incarnation));
        }
        self.suspects.remove(&news.name);
        if news.standing == Standing::Gone {
            let heard = step.now;
            self.gossip.put(&news.name);
            self.members.put(Member { heard, ..news });
        } else {
            self.join(news, step);
        }
    }

    fn join(&mut self, news: Member, step: &mut Step<'_>) {
        step.changes.push(Change::Joined(news.incarnation));
        if news.standing == Standing::Leaving {
            step.changes.push(Change::Leaving(news.incarnation));
        }
        if news.standing == Standing::Suspect {
            self.suspects
                .insert(news.name.clone(), step.now + SUSPICION);
        }
        let heard = step.now;
        let name = news.name.clone();
        self.members.put(Member { heard, ..news });
        self.pass_on(&name, step);
    }

    /// Takes in news of the life that is known.
    fn update(&mut self, news: &Member, step: &mut Step<'_>) {
        let Some(known) = self.members.get_mut(&news.name) else {
            return;
        };
        if news.figures.beat > known.figures.beat {
            known.figures = news.figures;
            if known.standing != Standing::Gone {
                known.heard = step.now;
            }
        }
        if (news.version, news.standing) <= (known.version, known.standing) {
            return;
        }
        let before = known.standing;
        // Others' word that a live member is gone may be the word of the other
        // side of a partition: the member gets the time to speak up.
        let standing = match (before, news.standing) {
            (Standing::Live | Standing::Suspect, Standing::Gone) => Standing::Suspect,
            (_, standing) => standing,
        };
        let repeated = before == Standing::Suspect
            && standing == Standing::Suspect
            && news.version == known.version;
        known.version = news.version;
        known.standing = standing;
        if repeated {
            return;
        }
        self.turn(news, before, standing, step);
    }

    /// Carries out what follows from a member's new standing.
    fn turn(&mut self, news: &Member, before: Standing, standing: Standing, step: &mut Step<'_>) {
        self.pass_on(&news.name, step);
        self.suspects.remove(&news.name);
        let life = news.incarnation;
        if before == Standing::Gone && standing != Standing::Gone {
            step.changes.push(Change::Joined(life));
        }
        match standing {
            Standing::Suspect => {
                self.suspects
                    .insert(news.name.clone(), step.now + SUSPICION);
            }
            Standing::Leaving if before != Standing::Leaving => {
                step.changes.push(Change::Leaving(life));
            }
            Standing::Gone => step.changes.push(Change::Gone(life)),
            Standing::Live | Standing::Leaving => {}
        }
    }
}
