//! The in-flight requests of all other entries, summed by endpoint.
//!
//! All endpoints are summed up several times a second. To search the reports of 400 entries for
//! each of 5,600 endpoints takes 45 ms, by calculation with 20 ns for each look-up.

use std::collections::HashMap;

use crate::relay::load_report::EndpointLoad;

/// In-flight requests by the key of the endpoint.
#[derive(Debug, Default)]
pub(super) struct RunningSums {
    sums: HashMap<u32, u32>,
}

impl RunningSums {
    pub fn at(&self, endpoint: u32) -> u32 {
        self.sums.get(&endpoint).copied().unwrap_or_default()
    }

    pub fn add<'l>(&mut self, loads: impl Iterator<Item = &'l EndpointLoad>) {
        for load in loads {
            let sum = self.sums.entry(load.endpoint).or_default();
            *sum = sum.saturating_add(load.running);
        }
    }

    pub fn subtract<'l>(&mut self, loads: impl Iterator<Item = &'l EndpointLoad>) {
        for load in loads {
            let Some(sum) = self.sums.get_mut(&load.endpoint) else {
                continue;
            };
            *sum = sum.saturating_sub(load.running);
            if *sum == 0 {
                self.sums.remove(&load.endpoint);
            }
        }
    }
}
