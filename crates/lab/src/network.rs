//! Loopback addresses of a run; concurrent runs use different networks.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The loopback network `127.N.0.0/16` of one run.
///
/// ```
/// let network = lab::Network::new(7);
/// assert_eq!(network.platform().to_string(), "127.7.200.1:7000");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Network {
    run: u8,
}

impl Network {
    /// Third octet of the addresses of entry VMs.
    const ENTRY: u8 = 100;
    /// Third octet of the addresses of links, less the number of the availability zone from which
    /// the link leads.
    const LINK: u8 = 150;
    /// Third octet of the address of the platform.
    const PLATFORM: u8 = 200;
    /// Number of networks to which [`Self::from_number`] maps.
    pub const COUNT: u8 = 250;
    /// TCP port on which an entry VM accepts requests from callers.
    pub const CALLERS_PORT: u16 = 8080;
    /// TCP port on which an entry VM accepts requests that other entry VMs forward.
    pub const HANDOFF_PORT: u16 = 8081;
    /// TCP port on which an entry VM accepts requests from operators.
    pub const OPERATORS_PORT: u16 = 8082;
    /// TCP port on which an entry VM accepts messages from other entry VMs.
    pub const PEERS_PORT: u16 = 8083;
    /// TCP port of the platform.
    pub const PLATFORM_PORT: u16 = 7000;

    /// Returns the network of the run with a number.
    ///
    /// ```
    /// assert_eq!(lab::Network::new(9).entry(2, 8080).to_string(), "127.9.100.2:8080");
    /// ```
    pub fn new(run: u8) -> Self {
        Self { run }
    }

    /// Maps a number, such as a process id, to one of the networks `127.2.0.0/16` to
    /// `127.251.0.0/16`.
    ///
    /// ```
    /// assert!(lab::Network::from_number(70_000).platform().ip().is_loopback());
    /// ```
    pub fn from_number(number: u32) -> Self {
        Self::new(2 + (number % u32::from(Self::COUNT)) as u8)
    }

    /// Number of the run, which is the second octet of all addresses.
    pub fn run(self) -> u8 {
        self.run
    }

    fn address(self, third: u8, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.run, third, last)), port)
    }

    /// Address of an entry VM; VM numbers start at 1.
    pub fn entry(self, vm: u8, port: u16) -> SocketAddr {
        self.address(Self::ENTRY, vm, port)
    }

    /// Address at which the link from an availability zone to an entry VM accepts connections.
    pub fn link(self, zone: u8, vm: u8, port: u16) -> SocketAddr {
        self.address(Self::LINK + zone, vm, port)
    }

    /// Address at which the link from an availability zone to the platform accepts connections.
    pub fn platform_link(self, zone: u8) -> SocketAddr {
        self.address(Self::LINK + zone, Self::PLATFORM, Self::PLATFORM_PORT)
    }

    /// Address of the platform.
    pub fn platform(self) -> SocketAddr {
        self.address(Self::PLATFORM, 1, Self::PLATFORM_PORT)
    }

    /// Replaces the addresses in a settings document of the examples, which use `127.1.0.0/16`, by
    /// the same addresses in this network.
    ///
    /// ```
    /// assert_eq!(lab::Network::new(7).translate("127.1.2.3:9000"), "127.7.2.3:9000");
    /// ```
    pub fn translate(self, text: &str) -> String {
        text.replace("127.1.", &format!("127.{}.", self.run))
    }
}
