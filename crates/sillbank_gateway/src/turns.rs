//! Spreads over time what all VMs of a hall do for the same reason, so that most of them learn the
//! outcome of the first one before it is their turn.

/// Number of VMs assumed for a hall of unknown size. In smaller halls the first turn comes later.
pub const ASSUMED_HALL_VMS: u32 = 256;
/// Smallest number of VMs for which turns are spread. For fewer VMs they are nearly uniform.
const MIN_VMS: u32 = 2;

/// A VM's turn as a share of the whole span, from 0 to 1. `vms` is the size of the hall, or 0 if it
/// is unknown; `random` is a random number from 0 to 1.
///
/// Turns are distributed exponentially, with few early ones: the first of n VMs comes after about a
/// tenth of the span, and within a share d of the span after it another n^d of them. A uniform
/// distribution has d * n of them, which grows with the hall.
pub fn late_turn(vms: u32, random: f64) -> f64 {
    let vms = if vms == 0 { ASSUMED_HALL_VMS } else { vms };
    let rate = f64::from(vms.max(MIN_VMS)).ln();
    (random.clamp(0.0, 1.0) * rate.exp_m1()).ln_1p() / rate
}

/// Whether a VM is one of about `most` VMs of a hall that act before the others. All are in a hall
/// of unknown size, where `vms` is 0.
pub fn is_among_first(most: u32, vms: u32, random: f64) -> bool {
    random * f64::from(vms) < f64::from(most)
}
