package agent

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// errUnframed means that the end of an answer is marked only by the end of the connection, so
// that a truncated answer can't be told from a complete one.
var errUnframed = errors.New("the answer has neither a length nor chunks")

// unframedLength is fasthttp's content length for such an answer.
const unframedLength = -2

// readBody reads the streamed body of an answer, up to max bytes, into resp.
//
// The body is streamed because fasthttp otherwise gives an unframed answer a length, and a
// truncated answer would pass for complete. On any error the connection is closed: unread
// bytes on it must never become the start of another caller's answer.
func readBody(resp *fasthttp.Response, max int) error {
	stream := resp.BodyStream()
	if stream == nil {
		return nil // no body, as for HEAD or 204
	}
	length := resp.Header.ContentLength()
	body, err := readStream(stream, length, max)
	if err != nil {
		resp.SetConnectionClose()
		resp.CloseBodyStream()
		return err
	}
	resp.CloseBodyStream()
	resp.SetBodyRaw(body)
	return nil
}

func readStream(stream io.Reader, length, max int) ([]byte, error) {
	switch {
	case length == unframedLength:
		return nil, errUnframed
	case length > max:
		return nil, fasthttp.ErrBodyTooLarge
	case length >= 0:
		body := make([]byte, length)
		_, err := io.ReadFull(stream, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(max)+1))
	if err == nil && len(body) > max {
		err = fasthttp.ErrBodyTooLarge
	}
	return body, err
}
