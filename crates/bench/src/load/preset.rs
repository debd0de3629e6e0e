//! Presets of the two users' fleets, scaled to one machine.

use std::{fmt, str::FromStr};

use laburnum_kernel::document::Class;

/// A user's fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// Nile Families: 5 upstreams of drafting-desk, 3 of court-registry, 6 slots each.
    Nile,
    /// Cascadia Earworks: 7 upstreams of profiles, 5 of tunings, 12 slots each.
    Cascadia,
}

/// The error of a text that names no preset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not one of nile, cascadia")]
pub struct BadPreset;

/// A service with its upstreams and paths.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: &'static str,
    /// Number of upstreams, each with a node beside it.
    pub endpoints: usize,
    /// Path of its interactive requests.
    pub reads: &'static str,
    /// Path of its requests that run at most once.
    pub filings: &'static str,
}

/// Path of every service's background requests.
pub const ARCHIVE: &str = "/archive";

impl Preset {
    /// Returns the services of the fleet.
    pub fn services(self) -> [Service; 2] {
        match self {
            Preset::Nile => [
                service("drafting-desk", 5, "/drafts", "/filings"),
                service("court-registry", 3, "/cases", "/filings"),
            ],
            Preset::Cascadia => [
                service("profiles", 7, "/profiles", "/purchases"),
                service("tunings", 5, "/tunings", "/purchases"),
            ],
        }
    }

    /// Returns the number of requests that one upstream runs at once.
    pub fn slots(self) -> u16 {
        match self {
            Preset::Nile => 6,
            Preset::Cascadia => 12,
        }
    }

    /// Returns the mean service time in ms; longer than in production, so that the load fits one machine.
    pub fn mean_service_ms(self) -> u64 {
        match self {
            Preset::Nile => 60,
            Preset::Cascadia => 150,
        }
    }

    /// Returns the deadline of a class in ms, scaled like the service time.
    pub fn deadline(self, class: Class) -> u64 {
        let factor = match class {
            Class::Interactive => 12,
            Class::Exact => 40,
            Class::Background => 160,
        };
        factor * self.mean_service_ms()
    }

    /// Returns the requests per second that all upstreams of `service` can run.
    pub fn capacity(self, service: &Service) -> f64 {
        let slots = service.endpoints * usize::from(self.slots());
        slots as f64 * 1e3 / self.mean_service_ms() as f64
    }

    /// Returns the document of `service`.
    pub fn document(self, service: &Service) -> String {
        let queue = usize::from(self.slots()) * 8;
        let Service {
            name,
            reads,
            filings,
            ..
        } = service;
        let route = |path, method, class, deadline| {
            let repeat = match class {
                Class::Exact => "repeat = \"never\"\n",
                Class::Interactive | Class::Background => "",
            };
            let class = match class {
                Class::Interactive => "interactive",
                Class::Exact => "exact",
                Class::Background => "background",
            };
            format!(
                "\n[[routes]]\npath = \"{path}\"\nmethods = [\"{method}\"]\nclass = \"{class}\"\ndeadline = \"{deadline}ms\"\n{repeat}"
            )
        };
        [
            format!(
                "schema = 1\nservice = \"{name}\"\nowner = \"bench\"\n\n[limits]\nqueue = {queue}\n\n[warmup]\nramp = \"1s\"\n"
            ),
            route(*reads, "GET", Class::Interactive, self.deadline(Class::Interactive)),
            route(*filings, "POST", Class::Exact, self.deadline(Class::Exact)),
            route(ARCHIVE, "GET", Class::Background, self.deadline(Class::Background)),
        ]
        .concat()
    }
}

fn service(
    name: &'static str,
    endpoints: usize,
    reads: &'static str,
    filings: &'static str,
) -> Service {
    Service {
        name,
        endpoints,
        reads,
        filings,
    }
}

impl FromStr for Preset {
    type Err = BadPreset;

    fn from_str(text: &str) -> Result<Preset, BadPreset> {
        match text {
            "nile" => Ok(Preset::Nile),
            "cascadia" => Ok(Preset::Cascadia),
            _ => Err(BadPreset),
        }
    }
}

impl fmt::Display for Preset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Preset::Nile => "nile",
            Preset::Cascadia => "cascadia",
        })
    }
}
