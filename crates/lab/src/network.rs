//! Loopback addresses of one run, which keep concurrent runs apart.

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
    /// Third byte of the addresses of entry VMs.
    const ENTRY: u8 = 100;
    /// Base for the third byte of link addresses, to which the number of the source zone is added.
    const LINK: u8 = 150;
    /// Third byte of the address of the platform.
    const PLATFORM: u8 = 200;
    /// Number of networks.
    pub const RUNS: u8 = 250;
    /// Port of an entry VM for callers' requests.
    pub const CALLERS: u16 = 8080;
    /// Port of an entry VM for requests that peers forward.
    pub const HANDOFF: u16 = 8081;
    /// Port of an entry VM for operators.
    pub const OPERATORS: u16 = 8082;
    /// Port of an entry VM for peer messages.
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

    /// Maps any number to a network, modulo the number of networks.
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

    /// Address of an entry VM; VM numbers start at 1.
    pub fn entry(self, vm: u8, port: u16) -> SocketAddr {
        self.address(Self::ENTRY, vm, port)
    }

    /// Address of the link from an availability zone to an entry VM.
    pub fn link(self, zone: u8, vm: u8, port: u16) -> SocketAddr {
        self.address(Self::LINK + zone, vm, port)
    }

    /// Address of the link from an availability zone to the platform.
    pub fn platform_link(self, zone: u8) -> SocketAddr {
        self.address(Self::LINK + zone, Self::PLATFORM, Self::PLATFORM_PORT)
    }

    /// Address of the platform.
    pub fn platform(self) -> SocketAddr {
        self.address(Self::PLATFORM, 1, Self::PLATFORM_PORT)
    }

    /// Replaces the network of the examples with this one in a settings document.
    ///
    /// ```
    /// assert_eq!(lab::Network::new(7).translate("127.1.2.3:9000"), "127.7.2.3:9000");
    /// ```
    pub fn translate(self, text: &str) -> String {
        text.replace("127.1.", &format!("127.{}.", self.run))
    }
}
