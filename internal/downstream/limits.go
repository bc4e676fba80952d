package downstream

import "time"

// Reading requests.
const (
	// headerTimeout bounds the time from the first to the last byte of a request header.
	headerTimeout = 2400 * time.Millisecond
	// handshakeTimeout bounds a TLS handshake.
	handshakeTimeout = 5 * time.Second
	// bodyReadTimeout bounds each wait for further bytes of a request body.
	bodyReadTimeout = time.Second
	// minBodyBytesPerSecond is the minimum average rate of a body, after bodyRateGrace. Without it a client could hold a connection, an
	// endpoint and a file descriptor by sending a byte now and then.
	minBodyBytesPerSecond = 32 << 10
	bodyRateGrace         = 1500 * time.Millisecond
	// receivedPollInterval is how often the connection of a body that has no memory left is checked for the rest of the body.
	receivedPollInterval = 20 * time.Millisecond
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
	// maxHeaderFields bounds the number of header fields, since a short field needs many times its length in memory once it is parsed.
	maxHeaderFields = 128
	// maxTrailerBytes bounds the trailer section of a chunked body.
	maxTrailerBytes = 1 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2 << 10
	// minMalformedDelay and maxMalformedDelay bound the time for which a connection is not read after a malformed request. The delay
	// doubles with each consecutive malformed request, so that clients that repeat them do not use up the CPU.
	minMalformedDelay = 5 * time.Millisecond
	maxMalformedDelay = 320 * time.Millisecond
)

// Writing responses.
const (
	// writeTimeout bounds the write of a response header and a buffered body. streamWriteTimeout bounds each write of a streamed
	// body; it is longer because slow readers pause.
	writeTimeout       = 2 * time.Second
	streamWriteTimeout = 10 * time.Second
	// copyBufferBytes is the size of the buffer through which streamed responses are copied.
	copyBufferBytes = 32 << 10
	// minBufferBytes is the size of the buffer of a long body, of a request or a response, for which there is no more memory.
	minBufferBytes = 4 << 10
	// maxCopiedBodyBytes is the length up to which a body is copied behind its header, so that both are written at once.
	maxCopiedBodyBytes = 4 << 10
	// lingerTimeout and maxLingerBytes bound the input that is read and discarded after the last response. Discarding it makes the client
	// receive the response rather than a reset.
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// Work that never waits; see workThrottle.
const (
	// localWorkShare is the share of the time for requests that need no endpoint: health checks and rejections.
	localWorkShare = 0.1
	localWorkBurst = 10 * time.Millisecond
	// maxLocalWorkPause adds to the latency of the next request on the connection.
	maxLocalWorkPause = 50 * time.Millisecond
	minLoggedPause    = time.Millisecond
	// maxUnpausedRefusals is how many sound requests may be refused in a row before the connection pauses.
	maxUnpausedRefusals = 32
	// maxPausedDivisor divides the number of client connections to get the number of those that may pause at once.
	maxPausedDivisor = 8
	// maxLocalWork bounds what counts for one of these requests. A longer one has waited for its client or for the processor.
	maxLocalWork = time.Millisecond
	// transferShare is the share of the time for the parts of long bodies that need not be waited for.
	transferShare    = 0.8
	transferBurst    = time.Millisecond
	maxTransferPause = 10 * time.Millisecond
	// maxTransferStep is the time above which a part of a long body has been waited for.
	maxTransferStep = 500 * time.Microsecond
	// frameWorkShare is the share of the time for frames that serve no request.
	frameWorkShare    = 0.1
	frameWorkBurst    = 2 * time.Millisecond
	maxFrameWorkPause = 50 * time.Millisecond
	// readsPerPart is at least the number of reads for a served request, or for a part of its body.
	readsPerPart   = 8
	maxEarnedReads = 64
	// freeReadInterval is how often readsPerPart are earned without a served request.
	freeReadInterval = 50 * time.Millisecond
	// maxFrameWork bounds what counts for one read of such a connection.
	maxFrameWork = 100 * time.Microsecond
)

// Watching clients.
const (
	// clientWatchDelay is how long a request is open before its connection is watched for a close by the client. A watch costs as much CPU
	// time as a small request.
	clientWatchDelay = 2 * time.Millisecond
	// closePollInterval is the interval at which a socket is checked for a close if the client has sent more than fits into the read
	// buffer.
	closePollInterval = 20 * time.Millisecond
)

// Accepting, evicting and draining connections.
const (
	// acceptRetryDelay is the wait after a temporary error of Accept, such as a lack of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// More than maxAcceptsWithoutBurst connections in an acceptRateInterval are a burst.
	acceptRateInterval     = 10 * time.Millisecond
	maxAcceptsWithoutBurst = 20
	// newConnGrace is the age from which a connection without a request is among the first to be evicted. Younger ones are spared at first,
	// because their first request is about to arrive; see Server.Evict.
	newConnGrace = 100 * time.Millisecond
	// stalledReadAge is how long a connection with an incomplete request must have received no bytes before it may be evicted.
	stalledReadAge = 400 * time.Millisecond
	// maxStalledScan bounds the number of connections that are searched for a stalled request.
	maxStalledScan = 256
	// maxMultiplexedEvictions bounds the number of multiplexed connections that are being evicted. Each needs some time to notify its
	// client. Without the bound, acceptors that wait for a descriptor would evict all others in that time.
	maxMultiplexedEvictions = 8
	// drainFirstRequestTimeout bounds the wait for the first request of a connection while the server drains.
	drainFirstRequestTimeout = 300 * time.Millisecond
)
