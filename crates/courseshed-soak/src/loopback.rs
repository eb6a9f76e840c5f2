//! Addresses and ports of a fleet, which no other fleet of the machine uses at the same time.

use std::io;
use std::net::{Ipv4Addr, TcpListener};

/// Ports of a machine that a fleet uses.
const PORTS: u16 = 16;
/// First ports that a fleet may use. They lie below those that the system gives to connections.
const FIRST_PORTS: std::ops::Range<u16> = 12_000..30_000;
/// The host of a subnet whose port is held by the fleet that has reserved the subnet.
const RESERVED_HOST: u8 = 254;
const RESERVED_PORT: u16 = 11_999;
/// Second octets of subnets.
const HIGH: std::ops::Range<u8> = 30..230;
/// Third octets of subnets.
const LOW: std::ops::Range<u8> = 0..250;

/// A part of the loopback range, reserved for one fleet until it is dropped or its process ends.
#[derive(Debug)]
pub struct Subnet {
    octets: [u8; 2],
    _reservation: TcpListener,
}

impl Subnet {
    /// Reserves a subnet that no process of the machine holds.
    ///
    /// # Errors
    /// [`io::ErrorKind::AddrInUse`] when all are held, else what the system says.
    pub fn reserve() -> io::Result<Self> {
        // Processes begin at different places, so that they rarely try one that is held.
        let subnets = HIGH.len() * LOW.len();
        let first = std::process::id() as usize * LOW.len();
        for place in (0..subnets).map(|step| (first + step) % subnets) {
            let high = HIGH.start + (place / LOW.len()) as u8;
            let low = LOW.start + (place % LOW.len()) as u8;
            let host = Ipv4Addr::new(127, high, low, RESERVED_HOST);
            match TcpListener::bind((host, RESERVED_PORT)) {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                bound => {
                    return Ok(Self {
                        octets: [high, low],
                        _reservation: bound?,
                    });
                }
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// The address of a host, counted from 0.
    ///
    /// # Errors
    /// [`io::ErrorKind::AddrNotAvailable`] when the subnet has fewer hosts.
    pub fn host(&self, place: usize) -> io::Result<Ipv4Addr> {
        let host = u8::try_from(place + 1).ok();
        let host = host.filter(|host| *host < RESERVED_HOST);
        let host = host.ok_or(io::ErrorKind::AddrNotAvailable)?;
        let [high, low] = self.octets;
        Ok(Ipv4Addr::new(127, high, low, host))
    }
}

/// The first of a row of ports that are free on all hosts.
///
/// # Errors
/// [`io::ErrorKind::AddrInUse`] when there is none.
pub fn free_ports(hosts: &[Ipv4Addr]) -> io::Result<u16> {
    let is_free = |first: u16| {
        hosts.iter().all(|host| {
            let mut ports = first..first + PORTS;
            ports.all(|port| TcpListener::bind((*host, port)).is_ok())
        })
    };
    let mut candidates = FIRST_PORTS.step_by(usize::from(PORTS));
    let found = candidates.find(|first| is_free(*first));
    found.ok_or_else(|| io::ErrorKind::AddrInUse.into())
}
