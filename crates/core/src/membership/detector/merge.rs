//! Takes news in: which of two pieces holds, and what follows from it.

use std::cmp::Ordering;

use crate::membership::detector::{Detector, MAX_MEMBERS, SUSPICION_TIMEOUT, Step};
use crate::membership::{Change, Member, Standing};

impl Detector {
    /// Takes in what is said of a member.
    pub(super) fn merge(&mut self, news: Member, step: &mut Step<'_>) {
        if news.name == self.members.own().name {
            return self.refute(&news, step);
        }
        let Some(known) = self.members.get(&news.name) else {
            return self.add_unknown(news, step);
        };
        match news.incarnation.cmp(&known.incarnation) {
            // The sender is behind, and will hear of the later life.
            Ordering::Less => self.gossip.enqueue(&news.name),
            Ordering::Equal => self.update(&news, step),
            Ordering::Greater => self.replace_incarnation(news, step),
        }
    }

    /// Speaks up against news that the own entry is worse off than it is.
    fn refute(&mut self, news: &Member, step: &mut Step<'_>) {
        let own = self.members.own_mut();
        match news.incarnation.cmp(&own.incarnation) {
            Ordering::Less => {
                let name = own.name.clone();
                self.gossip.enqueue(&name);
            }
            Ordering::Equal => {
                if (news.version, news.standing) <= (own.version, own.standing) {
                    return;
                }
                own.version = news.version + 1;
                if news.standing == Standing::Gone {
                    step.changes.push(Change::Refuted);
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
    fn add_unknown(&mut self, news: Member, step: &mut Step<'_>) {
        if news.standing == Standing::Gone || self.members.count() >= MAX_MEMBERS {
            return;
        }
        self.join(news, step);
    }

    /// Takes in a later life of a known name.
    fn replace_incarnation(&mut self, news: Member, step: &mut Step<'_>) {
        let Some(old) = self.members.get(&news.name) else {
            return;
        };
        if old.standing != Standing::Gone {
            step.changes.push(Change::Gone(old.incarnation));
        }
        self.suspects.remove(&news.name);
        if news.standing == Standing::Gone {
            let heard = step.now;
            self.gossip.enqueue(&news.name);
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
                .insert(news.name.clone(), step.now + SUSPICION_TIMEOUT);
        }
        let heard = step.now;
        let name = news.name.clone();
        self.members.put(Member { heard, ..news });
        self.forward(&name, step);
    }

    /// Takes in news of the life that is known.
    fn update(&mut self, news: &Member, step: &mut Step<'_>) {
        let Some(known) = self.members.get_mut(&news.name) else {
            return;
        };
        if news.heartbeat.updated_at > known.heartbeat.updated_at {
            known.heartbeat = news.heartbeat;
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
        self.apply_standing(news, before, standing, step);
    }

    /// Carries out what follows from a member's new standing.
    fn apply_standing(
        &mut self,
        news: &Member,
        before: Standing,
        standing: Standing,
        step: &mut Step<'_>,
    ) {
        self.forward(&news.name, step);
        self.suspects.remove(&news.name);
        let incarnation = news.incarnation;
        if before == Standing::Gone && standing != Standing::Gone {
            step.changes.push(Change::Joined(incarnation));
        }
        match standing {
            Standing::Suspect => {
                self.suspects
                    .insert(news.name.clone(), step.now + SUSPICION_TIMEOUT);
            }
            Standing::Leaving if before != Standing::Leaving => {
                step.changes.push(Change::Leaving(incarnation));
            }
            Standing::Gone => step.changes.push(Change::Gone(incarnation)),
            Standing::Live | Standing::Leaving => {}
        }
    }
}
