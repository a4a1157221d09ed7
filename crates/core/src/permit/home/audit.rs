//! Comparing what this home keeps of an entry with what the entry says.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::name::Incarnation;
use crate::permit::message::{Digest, End, Grant, Held, Reply, Run, Sync};
use crate::permit::post::{Receipt, Urgency};
use crate::permit::{Context, Id, Post};
use crate::pool;

use super::seat::{Entry, Holder, Phase, State};
use super::{Home, request};

/// How long an entry that has something here may compare no notes. It does so
/// each second, unless it believes that it has nothing here.
const UNAUDITED: Millis = Millis(3_000);
/// How long the answer to a right digest may wait for something to go with:
/// well below the time after which this entry would count as silent.
const AGREEMENT: Millis = Millis(200);
/// The mark of permits that were adopted: pools draw their own without it.
const ADOPTED: u64 = 1 << 63;

impl Home {
    /// Compares a digest of what an entry waits for and holds.
    pub fn digest(
        &mut self,
        now: Millis,
        post: &mut Post,
        from: Incarnation,
        receipt: Receipt,
        digest: Digest,
    ) {
        if !receipt.newest {
            return;
        }
        let holder = self.holders.get_mut(&from);
        let expected = holder.map_or(Digest::default(), |holder| {
            holder.audited = None;
            holder.digest(receipt.seen)
        });
        if digest == expected {
            let urgency = Urgency::By(now + AGREEMENT);
            post.reply(from, urgency, Reply::Agreed(receipt.number));
        } else {
            post.reply(from, Urgency::Now, Reply::Resync);
        }
    }

    /// Asks entries that compare no notes for what they have here.
    pub(super) fn audit(&mut self, now: Millis, post: &mut Post) {
        for (entry, holder) in &mut self.holders {
            let since = *holder.audited.get_or_insert(now);
            if now >= since + UNAUDITED {
                holder.audited = Some(now);
                post.reply(*entry, Urgency::Tick, Reply::Resync);
            }
        }
    }

    /// Takes in all that an entry waits for and holds, within a scope and a range.
    pub fn sync(
        &mut self,
        context: &Context,
        post: &mut Post,
        from: Incarnation,
        receipt: Receipt,
        sync: &Sync,
    ) {
        if !receipt.newest {
            return;
        }
        self.drop_unlisted(context, post, from, receipt, sync);
        for held in &sync.held {
            self.adopt(context, from, held, None);
        }
        for permit in &sync.waiting {
            self.confirm_waiting(post, from, *permit);
        }
        self.note_synced(from, sync);
    }

    fn drop_unlisted(
        &mut self,
        context: &Context,
        post: &mut Post,
        from: Incarnation,
        receipt: Receipt,
        sync: &Sync,
    ) {
        let listed: BTreeSet<u64> = sync.waiting.iter().copied().collect();
        let held = sync.held.iter().map(|held| held.permit);
        let listed: BTreeSet<u64> = held.chain(listed).collect();
        let Some(holder) = self.holders.get(&from) else {
            return;
        };
        let ended: Vec<u64> = known_in_range(holder, receipt.seen, sync)
            .filter(|permit| !listed.contains(permit))
            .collect();
        for permit in ended {
            let result = Run::NONE;
            self.end(context, post, from, &End { permit, result });
        }
    }

    fn confirm_waiting(&mut self, post: &mut Post, from: Incarnation, permit: u64) {
        let Some(entry) = self.entry(from, permit) else {
            post.reply(from, Urgency::Now, Reply::Unknown(permit));
            return;
        };
        if let State::Held { grant, .. } = entry.state {
            entry.told = Some(post.reply(from, Urgency::Now, Reply::Grant(grant)));
        }
    }

    /// Takes over a permit that this home did not grant, or a run under a place
    /// that it lent.
    pub(super) fn adopt(
        &mut self,
        context: &Context,
        from: Incarnation,
        held: &Held,
        lent: Option<u64>,
    ) {
        let known = self.entry(from, held.permit).map(|entry| entry.state);
        if matches!(known, Some(State::Held { .. })) {
            return;
        }
        let drawn = self.draw();
        let Some(seat) = self.seats.get_mut(&held.pool) else {
            return;
        };
        let request = request(from, held.permit);
        if let Phase::Rebuilding(rebuild) = &mut seat.phase {
            rebuild
                .waiting
                .retain(|waiter| waiter.ask.request != request);
        }
        let permit = lent.unwrap_or(ADOPTED | u64::from(drawn));
        if let Some(endpoint) = context.topology.endpoint(held.endpoint) {
            let adopted = pool::ActiveRun {
                request,
                holder: from,
                permit,
                endpoint: endpoint.clone(),
                tier: held.profile.tier,
                class: held.profile.class.clone(),
                workspace: held.profile.workspace.clone(),
            };
            seat.pool.adopt(context.now, adopted);
        }
        let grant = Grant {
            permit: held.permit,
            endpoint: held.endpoint,
            priority: pool::priority(held.profile.tier, false),
            contended: true,
        };
        let mut entry = Entry::waiting(held.pool, held.identity);
        entry.state = State::Held { permit, grant };
        entry.told = Some(0);
        self.keep(from, held.permit, entry);
    }

    /// Entries by pool that the figures of this home name.
    pub fn held_by_pool(&self) -> BTreeMap<Id, usize> {
        let mut counts = BTreeMap::new();
        for entry in self
            .holders
            .values()
            .flat_map(|holder| holder.entries.values())
        {
            *counts.entry(entry.seat).or_default() += 1;
        }
        counts
    }
}

/// The numbers within a sync's scope and range that its sender must know of.
fn known_in_range<'a>(
    holder: &'a Holder,
    seen: u32,
    sync: &'a Sync,
) -> impl Iterator<Item = u64> + 'a {
    holder
        .entries
        .range(sync.from..=sync.to)
        .filter(move |(_, entry)| entry.known(seen).is_some())
        .filter(move |(_, entry)| sync.scope.is_none_or(|scope| scope == entry.seat))
        .map(|(permit, _)| *permit)
}
