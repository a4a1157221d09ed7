//! Merges received updates: decides which of two updates takes precedence, and applies the
//! result.

use std::cmp::Ordering;

use crate::membership::detector::{Detector, MAX_MEMBERS, SUSPICION_TIMEOUT, Step};
use crate::membership::{Change, Member, Standing};

impl Detector {
    /// Merges an update about a member.
    pub(super) fn merge(&mut self, news: Member, step: &mut Step<'_>) {
        if news.name == self.members.own().name {
            return self.refute(&news, step);
        }
        let Some(known) = self.members.get(&news.name) else {
            return self.add_unknown(news, step);
        };
        match news.incarnation.cmp(&known.incarnation) {
            // The sender's information is outdated. Queue the later incarnation so that it reaches
            // the sender.
            Ordering::Less => self.gossip.enqueue(&news.name),
            Ordering::Equal => self.update(&news, step),
            Ordering::Greater => self.replace_incarnation(news, step),
        }
    }

    /// Refutes an update that reports a worse standing for the local entry, and detects a later
    /// incarnation of it.
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

    /// Adds a member with a previously unknown name. A member that is already gone is ignored:
    /// otherwise updates about gone members would circulate forever.
    fn add_unknown(&mut self, news: Member, step: &mut Step<'_>) {
        if news.standing == Standing::Gone || self.members.count() >= MAX_MEMBERS {
            return;
        }
        self.join(news, step);
    }

    /// Replaces a known member with a later incarnation of the same name.
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

    /// Merges an update about the known incarnation.
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
        // A report that a live member is gone may come from the other side of a partition. The
        // member is only suspected, so that it has time to refute the report.
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

    /// Applies the consequences of a member's new standing.
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
