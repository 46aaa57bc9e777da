package transport

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// firstBodyBytes is the buffer with which reading a longer body begins.
	firstBodyBytes = 16 << 10
	// defaultDecodeCost is for bodies that are copied, passed on or decoded into little more than
	// their size.
	defaultDecodeCost = 8
	// freeBodyBytes of a message between the system's processes are not charged, so that heartbeats
	// and votes don't wait for what strangers submit.
	freeBodyBytes = 16 << 10
	// memoryWait bounds the wait of a request for memory.
	memoryWait = time.Second
)

var (
	errNoMemory     = errors.New("no memory is free for the request")
	errTwoLengths   = errors.New("the request has a length beside chunks")
	errBodyTooShort = errors.New("the connection ended before the body")
)

// bodyReader reads one request's body. It holds no more memory than has arrived.
type bodyReader struct {
	conn  *conn         // nil if the server doesn't bound its connections
	until time.Time     // end of the wait for memory
	taken int64         // memory that was taken, in bytes
	place *list.Element // guarded by the budget's lock
}

// read returns the whole body of a request.
func (r *bodyReader) read(q *fasthttp.Request, maxBytes int) ([]byte, error) {
	defer memory.arrived(r)
	if ambiguousLength(&q.Header) {
		return nil, errTwoLengths
	}
	stream, length := q.BodyStream(), q.Header.ContentLength()
	if stream == nil || length == 0 {
		return nil, nil
	}
	if length > maxBytes {
		return nil, fasthttp.ErrBodyTooLarge
	}
	var body []byte
	if length > 0 && length <= prefetchBytes {
		body = make([]byte, 0, length) // it has arrived with the head
	}
	for {
		if len(body) == cap(body) {
			var err error
			if body, err = r.grow(body, length, maxBytes); err != nil {
				return nil, err
			}
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBytes:
			return nil, fasthttp.ErrBodyTooLarge
		case length > 0 && len(body) == length:
			return body, nil
		case errors.Is(err, io.EOF) && length > 0:
			return nil, errBodyTooShort
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// ambiguousLength reports whether a request has chunks and a length. Two servers in a row could
// take different ones, and the rest of the body for another request.
func ambiguousLength(h *fasthttp.RequestHeader) bool {
	const chunked = -1
	return h.ContentLength() == chunked && bytes.Contains(bytes.ToLower(h.RawHeaders()), []byte("\ncontent-length:"))
}

// grow returns a buffer with twice the room, or the room for the whole body if that is less. One
// byte more than allowed is read, to see that a body without a length is too long.
func (r *bodyReader) grow(body []byte, length, maxBytes int) ([]byte, error) {
	size := max(firstBodyBytes, 2*cap(body))
	if length > 0 {
		size = min(size, length)
	}
	size = min(size, maxBytes+1)
	more := int64(size - cap(body))
	if !memory.take(more, r.until) {
		return nil, errNoMemory
	}
	r.taken += more
	if r.conn != nil {
		memory.addArriving(r)
	}
	bigger := make([]byte, len(body), size)
	copy(bigger, body)
	return bigger, nil
}
