//! Probe periods from lifetimes: endpoints that fail often are probed often.
//!
//! Follows the square root rule of "Optimal Resource Utilization in Multi-Node
//! Failure Detection": for a given number of probes a second, the mean time to
//! notice a failure is least if periods go with the square root of lifetimes
//! (its equation 4), within a bound on the longest period (its section 3.4).

use crate::clock::Millis;

/// Periods in milliseconds, in the order of the lifetimes, that need this many
/// probes a second in all and make the mean time to notice a failure least.
///
/// Lifetimes may be in any unit. No period is above `longest`; where the bound
/// alone takes all the probes, every period is the same.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::endpoint::period::least_latency;
///
/// // The example of section 3.2: 40 nodes, 10 probes a second.
/// let lifetimes: Vec<f64> = (0..40).map(|node| if node < 20 { 1.0 } else { 225.0 }).collect();
/// let periods = least_latency(&lifetimes, 10.0, Millis::from_secs(100));
/// assert_eq!(periods[0].round(), 2_133.0);
/// assert_eq!(periods[39].round(), 32_000.0);
/// ```
pub fn least_latency(lifetimes: &[f64], probes_per_second: f64, longest: Millis) -> Vec<f64> {
    let longest = longest.0 as f64;
    let mut periods = vec![longest; lifetimes.len()];
    let mut free: Vec<usize> = (0..lifetimes.len()).collect();
    let mut rate = probes_per_second / 1_000.0;
    while !free.is_empty() {
        let roots: f64 = free
            .iter()
            .map(|node| lifetimes[*node].sqrt().recip())
            .sum();
        for node in &free {
            periods[*node] = lifetimes[*node].sqrt() * roots / rate;
        }
        let bound: Vec<usize> = free
            .extract_if(.., |node| periods[*node] > longest)
            .collect();
        if bound.is_empty() {
            return periods;
        }
        for node in bound {
            periods[node] = longest;
            rate -= longest.recip();
        }
        if rate <= 0.0 {
            let uniform = lifetimes.len() as f64 * 1_000.0 / probes_per_second;
            return vec![uniform; lifetimes.len()];
        }
    }
    periods
}

/// Periods in milliseconds, in the order of the lifetimes, that need the fewest
/// probes for this mean time to notice a failure (equation 6), not counting the
/// time for repeated probes.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::endpoint::period::fewest_probes;
///
/// // The example of section 3.3: a mean of 2 s.
/// let lifetimes: Vec<f64> = (0..40).map(|node| if node < 20 { 1.0 } else { 225.0 }).collect();
/// let periods = fewest_probes(&lifetimes, Millis(2_000));
/// assert_eq!(periods[0].round(), 3_767.0);
/// assert_eq!(periods[39].round(), 56_500.0);
/// ```
pub fn fewest_probes(lifetimes: &[f64], latency: Millis) -> Vec<f64> {
    let rates: f64 = lifetimes.iter().map(|life| life.recip()).sum();
    let roots: f64 = lifetimes.iter().map(|life| life.sqrt().recip()).sum();
    let factor = 2.0 * latency.0 as f64 * rates / roots;
    lifetimes.iter().map(|life| factor * life.sqrt()).collect()
}
