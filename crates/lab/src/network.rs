//! Loopback addresses of one run, so that several runs don't meet.

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
    /// Third byte of entry VMs' addresses.
    const ENTRY: u8 = 100;
    /// Third byte of the links that leave the first availability zone.
    const LINK: u8 = 150;
    /// Third byte of the platform's address.
    const PLATFORM: u8 = 200;
    /// Networks that there are.
    pub const RUNS: u8 = 250;
    /// Port of callers' requests at an entry VM.
    pub const CALLERS: u16 = 8080;
    /// Port of requests that peers hand over.
    pub const HANDOFF: u16 = 8081;
    /// Port for operators.
    pub const OPERATORS: u16 = 8082;
    /// Port of peers' messages.
    pub const PEERS: u16 = 8083;
    /// Port of the platform.
    pub const PLATFORM_PORT: u16 = 7000;

    /// Makes the network of a run.
    ///
    /// ```
    /// assert_eq!(lab::Network::new(9).entry(2, 8080).to_string(), "127.9.100.2:8080");
    /// ```
    pub fn new(run: u8) -> Self {
        Self { run }
    }

    /// The network for any number, which wraps around.
    ///
    /// ```
    /// assert!(lab::Network::numbered(70_000).platform().ip().is_loopback());
    /// ```
    pub fn numbered(number: u32) -> Self {
        Self::new(2 + (number % u32::from(Self::RUNS)) as u8)
    }

    /// The number of the run.
    pub fn run(self) -> u8 {
        self.run
    }

    fn address(self, third: u8, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.run, third, last)), port)
    }

    /// An entry VM by number, from 1 on.
    pub fn entry(self, vm: u8, port: u16) -> SocketAddr {
        self.address(Self::ENTRY, vm, port)
    }

    /// The link from an availability zone to an entry VM, both by number.
    pub fn link(self, zone: u8, vm: u8, port: u16) -> SocketAddr {
        self.address(Self::LINK + zone, vm, port)
    }

    /// The link from an availability zone to the platform.
    pub fn platform_link(self, zone: u8) -> SocketAddr {
        self.address(Self::LINK + zone, Self::PLATFORM, Self::PLATFORM_PORT)
    }

    /// The platform.
    pub fn platform(self) -> SocketAddr {
        self.address(Self::PLATFORM, 1, Self::PLATFORM_PORT)
    }

    /// Moves the addresses in a settings text from the examples' network to this one.
    ///
    /// ```
    /// assert_eq!(lab::Network::new(7).translate("127.1.2.3:9000"), "127.7.2.3:9000");
    /// ```
    pub fn translate(self, text: &str) -> String {
        text.replace("127.1.", &format!("127.{}.", self.run))
    }
}
