package process

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP states of a connection that the peer has closed (include/net/tcp_states.h).
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// sendBufferBytes is the size of the kernel's send buffer of a connection. A full buffer takes more only once a third of it is free: with the
// megabytes that the kernel would choose, a peer that reads slowly but all the time would seem to have stopped.
const sendBufferBytes = 256 << 10

// LimitSendBuffer sets the size of the kernel's send buffer of c. It has no effect on a connection that is not over TCP, and ignores an error:
// the connection works without it.
func LimitSendBuffer(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
}

// NothingToRead reports whether a read of c would block: neither bytes nor the end of the connection are ready to be read. It is false for
// a connection that cannot be inspected.
func NothingToRead(c net.Conn) bool {
	nothing := false
	peek(c, func(_, _ int, err error) { nothing = wouldBlock(err) })
	return nothing
}

// PeerClosed reports whether the peer has closed its sending side of c or reset the connection, also if unread bytes precede the end. It is
// false for a connection that cannot be inspected.
func PeerClosed(c net.Conn) bool {
	closed := false
	peek(c, func(fd, n int, err error) {
		switch {
		case wouldBlock(err) || errors.Is(err, syscall.EINTR):
		case err != nil || n == 0:
			closed = true
		default:
			closed = closedAfterData(fd)
		}
	})
	return closed
}

// backlogDivisor divides the size of a receive buffer to get the unread bytes from which its window may be closed. Half of the size is for the
// kernel's overhead.
const backlogDivisor = 4

// InputBacklogged reports whether so many bytes of c are unread that the kernel may not let the peer send more. The end of the connection then
// stands behind them, and PeerClosed does not see it. It is false for a connection that cannot be inspected.
func InputBacklogged(c net.Conn) bool {
	backlogged := false
	control(c, func(fd int) {
		unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
		size, sizeErr := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
		backlogged = err == nil && sizeErr == nil && unread >= size/backlogDivisor
	})
	return backlogged
}

// UnreadBytes returns how many bytes have arrived on c and wait to be read, or 0 if c cannot be inspected. For a TLS connection, whose bytes
// are not those of the message, it is 0.
func UnreadBytes(c net.Conn) int {
	if _, ok := c.(tlsConn); ok {
		return 0
	}
	unread := 0
	control(c, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// wouldBlock reports whether err means that a read found neither bytes nor the end.
func wouldBlock(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
}

// closedAfterData reports whether the peer has closed a connection that has unread bytes.
func closedAfterData(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == tcpCloseWait || info.State == tcpClose)
}

// peek calls f with the descriptor of c and the result of peeking at one byte, which remains unread. It does not call f if c cannot be
// inspected.
func peek(c net.Conn, f func(fd, n int, err error)) {
	control(c, func(fd int) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		f(fd, n, err)
	})
}

// tlsConn is a connection over another one, such as a *tls.Conn.
type tlsConn interface{ NetConn() net.Conn }

// control calls f with the descriptor of c, or of the connection below it; bytes that TLS has decrypted are not inspected. It does not call f
// if c cannot be inspected or is closed.
func control(c net.Conn, f func(fd int)) {
	if wrapped, ok := c.(tlsConn); ok {
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
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}
