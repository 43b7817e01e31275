//! The few system calls that the standard library does not offer.

use std::ffi::c_void;
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2000000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const c_void, length: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
}

/// Sends a signal to a process that this one started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: `kill` takes plain numbers.
    unsafe { kill(pid as i32, signal) };
}

/// Opens a connection whose receive buffer has this size, which bounds the window that the peer sees.
pub fn connect_with_buffer(to: SocketAddrV4, bytes: i32) -> io::Result<TcpStream> {
    let address = SockAddrIn {
        family: AF_INET as u16,
        port: to.port().to_be(),
        address: u32::from_ne_bytes(to.ip().octets()),
        zero: [0; 8],
    };
    let size = std::mem::size_of::<SockAddrIn>() as u32;
    // SAFETY: all pointers are to live values of the sizes that are given.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let value: *const i32 = &bytes;
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, value.cast(), 4) != 0 {
            return Err(io::Error::last_os_error());
        }
        let pointer: *const SockAddrIn = &address;
        if connect(fd, pointer.cast(), size) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
