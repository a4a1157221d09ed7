//! Division of a limited capacity among priorities and workspaces.

use std::collections::HashMap;

use crate::relay::scheduling::report::{self, Group, PRIORITIES, Totals, Workspace};

/// The part of the mean admitted fraction that every priority gets.
const FLOOR: f64 = 0.25;

/// The part of a demand that counts as all of it, beside rounding.
const WHOLE: f64 = 1.0 - 1e-9;

/// The admitted fraction of each workspace and priority.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    priorities: [Option<Priority>; PRIORITIES],
    workspaces: HashMap<u32, Listed>,
}

/// What is known of a listed workspace.
#[derive(Clone, Copy, Debug)]
struct Listed {
    offered: f64,
    fraction: f64,
    headroom: f64,
}

/// The admitted fractions of one priority.
#[derive(Clone, Copy, Debug)]
struct Priority {
    /// Of all its requests.
    mean: f64,
    /// Of the workspaces that are not listed.
    rest: f64,
    /// What each of these is assumed to ask for.
    member: f64,
    /// What each of these may use, as a multiple of that.
    headroom: f64,
}

impl Shares {
    /// Divides a capacity, in cost per second. Each priority gets its floor, then the capacity
    /// goes to the priorities in order; within a priority, it is divided by weighted max-min
    /// fairness.
    ///
    /// ```
    /// use woodgap_core::relay::scheduling::report::{self, Totals, Workspace};
    /// use woodgap_core::relay::scheduling::share::Shares;
    ///
    /// let heavy = report::workspace_key("heavy", 0);
    /// let light = report::workspace_key("light", 0);
    /// let mut totals = Totals::default();
    /// totals.offered[0] = 250.0;
    /// totals.workspaces.push(Workspace { key: heavy, offered: 240.0, weight: 1.0 });
    /// totals.workspaces.push(Workspace { key: light, offered: 10.0, weight: 1.0 });
    /// let shares = Shares::new(100.0, &totals);
    /// assert_eq!(shares.fraction(light), 1.0);
    /// assert_eq!(shares.fraction(heavy), 90.0 / 240.0);
    /// ```
    pub fn new(capacity: f64, totals: &Totals) -> Self {
        let mut shares = Self::default();
        let granted = divide_among_priorities(capacity, &totals.offered);
        for (priority, granted) in granted.into_iter().enumerate() {
            if totals.offered[priority] > 0.0 {
                shares.divide(priority, granted, totals);
            }
        }
        shares
    }

    /// The admitted fraction of the workspace and priority with this
    /// [key](report::workspace_key).
    pub fn fraction(&self, key: u32) -> f64 {
        let priority = report::priority_of(key);
        match (self.workspaces.get(&key), self.priorities[priority]) {
            (Some(listed), _) => listed.fraction,
            (None, Some(priority)) => priority.rest,
            (None, None) => self.mean(priority),
        }
    }

    /// The rate that the workspace and priority with this key may use, as a multiple of what it asks
    /// for: above 1 if it asks for less than its share, infinite if all can be met.
    pub fn headroom(&self, key: u32) -> f64 {
        let listed = self.workspaces.get(&key).map(|it| it.headroom);
        let priority = self.priorities[report::priority_of(key)];
        listed
            .or(priority.map(|it| it.headroom))
            .unwrap_or(f64::INFINITY)
    }

    /// The rate that the workspace and priority with this key ask for.
    pub fn demand(&self, key: u32) -> f64 {
        let listed = self.workspaces.get(&key).map(|it| it.offered);
        let priority = self.priorities[report::priority_of(key)];
        listed.or(priority.map(|it| it.member)).unwrap_or(0.0)
    }

    /// The admitted fraction of all requests of a priority; if it has none, that of the next more
    /// urgent one.
    pub fn mean(&self, priority: usize) -> f64 {
        let more_urgent = self.priorities[..=priority].iter().rev();
        more_urgent.flatten().next().map_or(1.0, |it| it.mean)
    }

    /// The priorities with demand and their admitted fractions.
    pub fn by_priority(&self) -> impl Iterator<Item = (u8, f64)> {
        let priorities = (0..).zip(&self.priorities);
        priorities.filter_map(|(priority, it)| it.map(|it| (priority, it.mean)))
    }

    /// The number of listed workspaces that are admitted in part, and less than their priority.
    pub fn over_share(&self) -> usize {
        let listed = self.workspaces.iter();
        let is_over = |(key, listed): &(&u32, &Listed)| {
            listed.fraction < self.mean(report::priority_of(**key)) - f64::EPSILON
        };
        listed.filter(is_over).count()
    }

    fn divide(&mut self, priority: usize, granted: f64, totals: &Totals) {
        let listed = totals.workspaces.iter();
        let listed = listed.filter(|it| report::priority_of(it.key) == priority);
        let listed: Vec<&Workspace> = listed.collect();
        let lightest = listed.iter().map(|it| it.offered / it.weight);
        let lightest = lightest.fold(f64::INFINITY, f64::min);
        let group = totals.rest[priority];
        let member = member_demand(group, lightest);
        let mut claims: Vec<Claim> = listed.iter().map(|it| Claim::from(**it)).collect();
        if member > 0.0 && group.offered > 0.0 {
            claims.push(Claim {
                demand: group.offered,
                weight: group.offered / member,
            });
        }
        let is_met = granted >= totals.offered[priority] * WHOLE;
        let level = if is_met {
            f64::INFINITY
        } else {
            water_level(&mut claims, granted)
        };
        for workspace in listed {
            let listed = Listed {
                offered: workspace.offered,
                fraction: Claim::from(*workspace).fraction(level),
                headroom: Claim::from(*workspace).headroom(level),
            };
            self.workspaces.insert(workspace.key, listed);
        }
        let mean = (granted / totals.offered[priority]).min(1.0);
        let rest = if member > 0.0 {
            (level / member).min(1.0)
        } else {
            mean
        };
        let headroom = if member > 0.0 {
            level / member
        } else {
            f64::INFINITY
        };
        self.priorities[priority] = Some(Priority {
            mean,
            rest,
            member,
            headroom,
        });
    }
}

/// What each workspace that is not listed is assumed to ask for.
fn member_demand(group: Group, lightest: f64) -> f64 {
    let mean = group.offered / group.count.max(1.0);
    if group.offered > 0.0 {
        mean.min(lightest)
    } else if lightest.is_finite() {
        lightest
    } else {
        0.0
    }
}

/// What each priority may use of a capacity, in the order of the priorities.
fn divide_among_priorities(capacity: f64, offered: &[f64; PRIORITIES]) -> [f64; PRIORITIES] {
    let all: f64 = offered.iter().sum();
    let mean = (capacity / all.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
    let mut granted = offered.map(|offered| FLOOR * mean * offered);
    let mut left = (capacity - granted.iter().sum::<f64>()).max(0.0);
    for (granted, offered) in granted.iter_mut().zip(offered) {
        let more = (offered - *granted).min(left);
        *granted += more;
        left -= more;
    }
    granted
}

/// A demand for a part of the capacity.
#[derive(Clone, Copy, Debug)]
struct Claim {
    demand: f64,
    weight: f64,
}

impl From<Workspace> for Claim {
    fn from(workspace: Workspace) -> Self {
        Self {
            demand: workspace.offered,
            weight: workspace.weight,
        }
    }
}

impl Claim {
    fn per_weight(&self) -> f64 {
        self.demand / self.weight
    }

    fn headroom(&self, level: f64) -> f64 {
        if self.demand > 0.0 {
            level / self.per_weight()
        } else {
            f64::INFINITY
        }
    }

    fn fraction(&self, level: f64) -> f64 {
        if self.demand > 0.0 {
            (level / self.per_weight()).min(1.0)
        } else {
            1.0
        }
    }
}

/// What each unit of weight gets: claims of less are met in full, the others get their weight
/// times this. Infinite if all claims can be met.
fn water_level(claims: &mut [Claim], capacity: f64) -> f64 {
    claims.sort_by(|a, b| a.per_weight().total_cmp(&b.per_weight()));
    let mut left = capacity;
    let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    for claim in claims {
        if claim.per_weight() * weight > left {
            return left.max(0.0) / weight;
        }
        left -= claim.demand;
        weight -= claim.weight;
    }
    f64::INFINITY
}
