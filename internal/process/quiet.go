package process

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// NothingToRead reports whether nothing is there to be read from c, neither bytes nor the end.
func NothingToRead(c net.Conn) bool {
	quiet := false
	peek(c, func(_, _ int, err error) { quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK })
	return quiet
}

// PeerClosed reports whether the other side has ended its sending on c or reset it, as far as that can be seen: also behind bytes that
// are still to be read.
func PeerClosed(c net.Conn) bool {
	ended := false
	peek(c, func(fd, n int, err error) {
		switch {
		case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK || err == syscall.EINTR:
		case err != nil || n == 0:
			ended = true
		default:
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			ended = err == nil && (info.State == tcpCloseWait || info.State == tcpClose)
		}
	})
	return ended
}

// The states of a connection (include/net/tcp_states.h) whose other side has ended it.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// peek gives f what can be read of c now, without reading it. It does not call f if c cannot be looked at.
func peek(c net.Conn, f func(fd, n int, err error)) {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS: what it has decrypted is for its reader to know
		c = t.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		f(int(fd), n, err)
	})
}
