package udp

import (
	"encoding/binary"
	"net/netip"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// pastDeadline is a deadline in the past. It makes a pending receive return.
var pastDeadline = time.Unix(1, 0)

// sockaddr holds a struct sockaddr_in or sockaddr_in6.
type sockaddr [unix.SizeofSockaddrInet6]byte

// The offsets within sockaddr_in and sockaddr_in6, in bytes.
const (
	offsetPort  = 2
	offsetAddr4 = 4
	offsetAddr6 = 8
)

// decode returns the address without its zone. IPv4-mapped addresses are unmapped.
func (s *sockaddr) decode() netip.AddrPort {
	port := binary.BigEndian.Uint16(s[offsetPort:])

	switch binary.NativeEndian.Uint16(s[:]) {
	case unix.AF_INET:
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(s[offsetAddr4:])), port)
	case unix.AF_INET6:
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte(s[offsetAddr6:])).Unmap(), port)
	default:
		return netip.AddrPort{}
	}
}

// encode writes the address for a socket of the given family. It returns the
// length, or 0 if the address is not of that family.
func (s *sockaddr) encode(address netip.AddrPort, family uint16) uint32 {
	addr := address.Addr().Unmap()
	if !addr.IsValid() || addr.Is4() != (family == unix.AF_INET) {
		return 0
	}

	*s = sockaddr{}
	binary.NativeEndian.PutUint16(s[:], family)
	binary.BigEndian.PutUint16(s[offsetPort:], address.Port())

	if family == unix.AF_INET {
		bytes := addr.As4()
		copy(s[offsetAddr4:], bytes[:])

		return unix.SizeofSockaddrInet4
	}

	bytes := addr.As16()
	copy(s[offsetAddr6:], bytes[:])

	return unix.SizeofSockaddrInet6
}

func receiveBatch(fd uintptr, headers []unix.Mmsghdr) (int, syscall.Errno) {
	return batchCall(unix.SYS_RECVMMSG, fd, headers)
}

func sendBatch(fd uintptr, headers []unix.Mmsghdr) (int, syscall.Errno) {
	return batchCall(unix.SYS_SENDMMSG, fd, headers)
}

// batchCall issues recvmmsg or sendmmsg, and repeats it if a signal interrupted it.
func batchCall(trap, fd uintptr, headers []unix.Mmsghdr) (int, syscall.Errno) {
	for {
		first := unsafe.Pointer(unsafe.SliceData(headers))

		n, _, errno := unix.Syscall6(trap, fd, uintptr(first), uintptr(len(headers)), unix.MSG_DONTWAIT, 0, 0)
		if errno == unix.EINTR {
			continue
		}

		if errno != 0 {
			return 0, errno
		}

		return int(n), 0
	}
}

// receiveError reads one entry of a socket's error queue.
func receiveError(fd uintptr, header *unix.Msghdr) syscall.Errno {
	_, _, errno := unix.Syscall(unix.SYS_RECVMSG, fd, uintptr(unsafe.Pointer(header)),
		unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)

	return errno
}

// extendedError returns the error number from the control message that holds a
// struct sock_extended_err, of which it is the first field (ip(7), IP_RECVERR).
func extendedError(control []byte, family uint16) (syscall.Errno, bool) {
	level, kind := int32(unix.IPPROTO_IP), int32(unix.IP_RECVERR)
	if family == unix.AF_INET6 {
		level, kind = unix.IPPROTO_IPV6, unix.IPV6_RECVERR
	}

	for len(control) >= unix.SizeofCmsghdr {
		header := (*unix.Cmsghdr)(unsafe.Pointer(unsafe.SliceData(control)))

		length := int(header.Len)
		if length < unix.SizeofCmsghdr || length > len(control) {
			return 0, false
		}

		data := control[unix.SizeofCmsghdr:length]
		if header.Level == level && header.Type == kind && len(data) >= 4 {
			return syscall.Errno(binary.NativeEndian.Uint32(data)), true
		}

		control = control[min(unix.CmsgSpace(len(data)), len(control)):]
	}

	return 0, false
}
