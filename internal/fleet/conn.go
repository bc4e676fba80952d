package fleet

import (
	"bufio"
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// The kinds of frames. A frame consists of a length of four bytes, a kind of one byte, a payload, and a tag which proves that the sender
// knows the secret. Receivers tolerate lost, duplicated and reordered frames. A frame whose tag does not match ends the connection.
const (
	kindHello    = 'H'
	kindRaft     = 'R' // a raft message
	kindRequest  = 'Q' // a request, encoded as rpc
	kindResponse = 'A' // the response to a request, encoded as rpc
	kindWake     = 'W' // the receiver's leases have changed
	kindGossip   = 'G' // a message about shared state
	kindPing     = 'P'
	kindPong     = 'O'
)

const (
	tagLength             = 16 // bytes
	maxHelloBytes         = 4 << 10
	maxFrameBytes         = 64 << 20 // a snapshot of 100,000 leases takes about 20 MB
	handshakeTimeout      = 2 * time.Second
	writeTimeout          = 5 * time.Second
	idleTimeout           = time.Minute // a connection that receives no frame for this time (inbound: twice this time) is closed
	maxInboundConnections = 2048        // also stated in the text of errTooManyConnections
)

var (
	errBadTag        = errors.New("frame with a wrong tag: the peer has another secret, or the frame was altered in transit")
	errFrameLength   = errors.New("frame length out of range: the frame is too short for its kind and tag, or longer than allowed")
	errUnknownMember = errors.New("not a member of this fleet")
)

// hello is the payload of the first frame of both ends.
type hello struct {
	Version int    `json:"v"`
	Name    string `json:"name"`
	To      string `json:"to,omitempty"`
	Fleet   string `json:"fleet,omitempty"`
	Nonce   []byte `json:"nonce"`
	Pong    bool   `json:"pong,omitempty"` // the sender answers pings
}

const helloVersion = 1

// deriveKey returns the HMAC of the parts under the secret. Each part is preceded by its length.
func deriveKey(secret []byte, parts ...[]byte) []byte {
	m := hmac.New(sha256.New, secret)
	for _, p := range parts {
		m.Write(binary.BigEndian.AppendUint32(nil, uint32(len(p))))
		m.Write(p)
	}
	return m.Sum(nil)
}

// conn is a connection with authenticated frames. After the handshake, the dialing end knows that the peer has the secret. The accepting end
// knows this only after it has read a further frame, because a hello can be replayed. write may be called concurrently, read may not.
type conn struct {
	net.Conn
	reader              *bufio.Reader
	sendKey, receiveKey []byte
	peer                hello
	writeMu             sync.Mutex // held while a frame is written: frames must not interleave
	traffic             *traffic
}

// traffic counts the frames and bytes that a process has sent to other processes since its start.
type traffic struct{ frames, bytes, gossipFrames, gossipBytes atomic.Int64 }

// write sends a frame within writeTimeout.
func (c *conn) write(kind byte, payload []byte) error {
	head := binary.BigEndian.AppendUint32(nil, uint32(1+len(payload)+tagLength))
	head = append(head, kind)
	tag := deriveKey(c.sendKey, []byte{kind}, payload)[:tagLength]
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if c.traffic != nil {
		c.traffic.frames.Add(1)
		c.traffic.bytes.Add(int64(len(head) + len(payload) + len(tag)))
		if kind == kindGossip {
			c.traffic.gossipFrames.Add(1)
			c.traffic.gossipBytes.Add(int64(len(head) + len(payload) + len(tag)))
		}
	}
	buffers := net.Buffers{head, payload, tag}
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// read returns the next frame. A frame of more than limit bytes is an error. Memory is allocated as bytes arrive, not by the length in the
// header. The errors errFrameLength and errBadTag mean that the peer violates the protocol.
func (c *conn) read(limit uint32) (kind byte, payload []byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 1+tagLength || n > limit {
		return 0, nil, errFrameLength
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, c.reader, int64(n)); err != nil {
		return 0, nil, err
	}
	all := buf.Bytes()
	kind, payload = all[0], all[1:len(all)-tagLength]
	if !hmac.Equal(deriveKey(c.receiveKey, []byte{kind}, payload)[:tagLength], all[len(all)-tagLength:]) {
		return 0, nil, errBadTag
	}
	return kind, payload, nil
}

// sessionKeys derives the keys that authenticate the frames of the dialing and of the accepting end from the nonces of both ends.
func sessionKeys(secret, dialerNonce, acceptorNonce []byte) (dialerKey, acceptorKey []byte) {
	return deriveKey(secret, []byte("dialler"), dialerNonce, acceptorNonce), deriveKey(secret, []byte("other"), dialerNonce, acceptorNonce)
}

// sendHello sends h and authenticates it with key.
func (c *conn) sendHello(key []byte, h hello) error {
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	c.sendKey = key
	return c.write(kindHello, data)
}

// readHello reads the peer's hello, authenticates it with key and checks its version, nonce and name.
func (c *conn) readHello(key []byte) (h hello, err error) {
	c.receiveKey = key
	kind, data, err := c.read(maxHelloBytes)
	if err != nil {
		return h, err
	}
	if kind != kindHello {
		return h, errors.New("the first frame of the peer is not a hello")
	}
	if err := json.Unmarshal(data, &h); err != nil {
		return h, fmt.Errorf("decoding the hello of the peer: %w", err)
	}
	switch {
	case h.Version != helloVersion:
		return h, fmt.Errorf("the peer uses protocol version %d: this program supports version %d", h.Version, helloVersion)
	case len(h.Nonce) != sha256.Size || h.Name == "":
		return h, errors.New("the hello of the peer has no name, or a nonce of a wrong length")
	}
	return h, nil
}

// nonce returns a random nonce for one handshake.
func nonce() []byte {
	n := make([]byte, sha256.Size)
	rand.Read(n) // never fails
	return n
}

// dial connects to address and performs the handshake, in which the accepting end proves that it knows the secret. The next frame of the
// dialing end proves that the dialing end knows it, too. dial returns an error if me.To names a member and the peer is another one.
func dial(ctx context.Context, address string, secret []byte, me hello) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, reader: bufio.NewReader(raw)}
	deadline, _ := ctx.Deadline()
	me.Version, me.Nonce = helloVersion, nonce()
	err = raw.SetDeadline(deadline)
	if err == nil {
		err = c.sendHello(deriveKey(secret, []byte("hello")), me)
	}
	if err == nil {
		// The key depends on this dialer's nonce, so that an answer recorded in an earlier handshake cannot be replayed.
		c.peer, err = c.readHello(deriveKey(secret, []byte("answer"), me.Nonce))
	}
	if err == nil && me.To != "" && c.peer.Name != me.To {
		err = fmt.Errorf("member %q answered in place of member %q", c.peer.Name, me.To)
	}
	if err == nil {
		err = raw.SetDeadline(time.Time{})
	}
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	c.sendKey, c.receiveKey = sessionKeys(secret, me.Nonce, c.peer.Nonce)
	return c, nil
}

// acceptConn is the accepting end of dial. authorize returns an error for a peer whose hello is not acceptable. A hello can be replayed:
// the dialer has proven that it knows the secret only once its first frame after the hello has been read.
func acceptConn(raw net.Conn, secret []byte, me hello, authorize func(hello) error) (*conn, error) {
	c := &conn{Conn: raw, reader: bufio.NewReader(raw)}
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	h, err := c.readHello(deriveKey(secret, []byte("hello")))
	if err != nil {
		return nil, err
	}
	if err := authorize(h); err != nil {
		return nil, err
	}
	c.peer = h
	me.Version, me.Nonce, me.Pong = helloVersion, nonce(), true
	if err := c.sendHello(deriveKey(secret, []byte("answer"), h.Nonce), me); err != nil {
		return nil, err
	}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	c.receiveKey, c.sendKey = sessionKeys(secret, h.Nonce, me.Nonce)
	return c, nil
}
