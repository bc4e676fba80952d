package process

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The states of a connection whose peer has ended it (include/net/tcp_states.h).
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// NothingToRead reports whether nothing is there to be read from c, neither bytes nor the end. It is false for a connection that
// cannot be looked at.
func NothingToRead(c net.Conn) bool {
	nothing := false
	peek(c, func(_, _ int, err error) { nothing = wouldBlock(err) })
	return nothing
}

// PeerClosed reports whether the peer has ended its sending on c or reset it, as far as that can be seen: also behind bytes that are
// still to be read.
func PeerClosed(c net.Conn) bool {
	closed := false
	peek(c, func(fd, n int, err error) {
		switch {
		case wouldBlock(err) || errors.Is(err, syscall.EINTR):
		case err != nil || n == 0:
			closed = true
		default:
			closed = closedBehindData(fd)
		}
	})
	return closed
}

// wouldBlock reports whether a read found nothing.
func wouldBlock(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
}

// closedBehindData reports whether the peer has ended a connection on which bytes are still to be read.
func closedBehindData(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == tcpCloseWait || info.State == tcpClose)
}

// peek calls f with the result of a read of one byte, which stays to be read, and the descriptor. It does not call f if c cannot be
// looked at.
func peek(c net.Conn, f func(fd, n int, err error)) {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS: what it has decrypted is for its reader to know
		c = wrapped.NetConn()
	}
	conn, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // of a closed connection f is not called
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		f(int(fd), n, err)
	})
}
