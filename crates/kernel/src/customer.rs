//! Customers: the keys that their requests carry, their quotas and their priorities.
//!
//! Keys are held as digests only, so that no state, message or log line shows one.

use std::{collections::HashMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// A customer of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerSpec {
    /// Unique name, which upstreams receive with each of its requests.
    pub name: Arc<str>,
    /// Digests of the keys that are valid now.
    pub keys: Vec<KeyDigest>,
    /// Quota of its requests over the whole fleet.
    pub quota: Quota,
    /// Priority of its requests in place of their routes', if set; zero is the highest.
    pub priority: Option<u8>,
}

/// Quota of a customer's requests over the whole fleet: a token bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Refill rate, in thousandths of a request per second; zero means no limit.
    pub rate: u64,
    /// Capacity, in requests.
    pub burst: u64,
}

/// BLAKE3 digest of a key. Keys are random, so a salt would protect nothing.
///
/// Digests of two keys are unrelated, so the time of a look-up tells nothing about a valid key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

/// Index of customers by key and by name: the position in their version's list.
#[derive(Debug, Default)]
pub struct CustomerIndex {
    keys: HashMap<KeyDigest, usize>,
    names: HashMap<Arc<str>, usize>,
}

/// Why a list of customers is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCustomer {
    /// Two customers hold the same key.
    #[error("customers {customer} and {other} hold the same key: give each its own keys")]
    SharedKey { customer: Arc<str>, other: Arc<str> },
    /// Two customers have the same name.
    #[error("customer {customer} is listed twice: keep one entry with all of its keys")]
    Twice { customer: Arc<str> },
    /// The name cannot be sent in a header field.
    #[error("customer name {name:?} is not valid: use 1 to 200 printable ASCII characters")]
    BadName { name: Arc<str> },
}

/// Maximum length of a customer's name, in bytes.
const NAME_MAX: usize = 200;

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl Quota {
    /// Returns whether the quota limits anything.
    pub fn is_limited(self) -> bool {
        self.rate > 0
    }
}

impl CustomerIndex {
    /// Checks and indexes `customers`.
    pub fn new(customers: &[CustomerSpec]) -> Result<CustomerIndex, BadCustomer> {
        let mut names = HashMap::new();
        let mut keys = HashMap::new();
        for (idx, customer) in customers.iter().enumerate() {
            check_name(&customer.name)?;
            if names.insert(customer.name.clone(), idx).is_some() {
                let customer = customer.name.clone();
                return Err(BadCustomer::Twice { customer });
            }
            for key in &customer.keys {
                let other = keys.insert(*key, idx).filter(|it| *it != idx);
                if let Some(other) = other {
                    return Err(BadCustomer::SharedKey {
                        customer: customer.name.clone(),
                        other: customers[other].name.clone(),
                    });
                }
            }
        }
        Ok(CustomerIndex { keys, names })
    }

    /// Returns the position of the customer that holds `key`.
    pub fn find(&self, key: &KeyDigest) -> Option<usize> {
        self.keys.get(key).copied()
    }

    /// Returns the position of the customer `name`.
    pub fn find_name(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }
}

fn check_name(name: &Arc<str>) -> Result<(), BadCustomer> {
    let is_printable = name.bytes().all(|it| it.is_ascii_graphic());
    match is_printable && (1..=NAME_MAX).contains(&name.len()) {
        true => Ok(()),
        false => Err(BadCustomer::BadName { name: name.clone() }),
    }
}
