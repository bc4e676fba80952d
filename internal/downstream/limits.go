package downstream

import "time"

// Reading requests.
const (
	// headerTimeout is how long a request's header may take from its first byte to its last.
	headerTimeout = 2400 * time.Millisecond
	// handshakeTimeout bounds a TLS handshake.
	handshakeTimeout = 5 * time.Second
	// bodyReadTimeout is how long a body may pause.
	bodyReadTimeout = time.Second
	// minBodyBytesPerSecond is the average rate that a body must have, after bodyRateGrace: without it a client could hold a
	// connection, a server and a descriptor with a byte now and then.
	minBodyBytesPerSecond = 32 << 10
	bodyRateGrace         = 1500 * time.Millisecond
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
	// maxTrailerBytes bounds what follows a chunked body.
	maxTrailerBytes = 1 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2 << 10
	// minMalformedDelay and maxMalformedDelay bound the time for which a connection is not read after a malformed request.
	// The delay doubles with each such request in a row, so that clients that repeat them leave the processor to others.
	minMalformedDelay = 5 * time.Millisecond
	maxMalformedDelay = 320 * time.Millisecond
)

// Writing responses.
const (
	// writeTimeout is how long a client may take nothing of its response, and streamWriteTimeout nothing of a streamed one:
	// clients that read slowly pause.
	writeTimeout       = 2 * time.Second
	streamWriteTimeout = 10 * time.Second
	// copyBufferBytes is how much of a streamed response is copied at a time.
	copyBufferBytes = 32 << 10
	// lingerTimeout and maxLingerBytes bound what is read and discarded after the last response, so that the client finds the
	// response rather than a reset.
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// Watching clients.
const (
	// clientWatchDelay is how long a request is open before its client is watched for closing: a watch costs as much as a
	// small request.
	clientWatchDelay = 2 * time.Millisecond
	// closePollInterval is how often the socket of a client is checked that has sent more than is read ahead.
	closePollInterval = 20 * time.Millisecond
)

// Accepting, evicting and draining connections.
const (
	// acceptRetryDelay is the wait after an error of Accept that may pass, such as a lack of descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// newConnGrace is the age below which a connection without a request is evicted only if no older one can be: its first
	// request is about to come.
	newConnGrace = 100 * time.Millisecond
	// stalledReadAge is how long nothing must have come of a request for its connection to be evicted.
	stalledReadAge = 400 * time.Millisecond
	// maxStalledScan bounds the connections that are searched for a stalled request.
	maxStalledScan = 256
	// maxMultiplexedEvictions bounds the multiplexed connections that are being evicted: each takes a moment to tell its
	// client, in which those that wait for a descriptor would evict all others.
	maxMultiplexedEvictions = 8
	// drainFirstRequestTimeout is how long a draining server waits for the first request of a connection.
	drainFirstRequestTimeout = 300 * time.Millisecond
)
