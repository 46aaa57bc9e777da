package agent

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// errUnframed is an answer whose end was marked only by the end of its
// connection: it may have been cut anywhere, and nobody could tell.
var errUnframed = errors.New("the answer has neither a length nor chunks")

// unframed is how fasthttp shows such an answer's length.
const unframed = -2

// readWhole reads an answer that was asked for as a stream, up to max bytes.
//
// It is a stream because the library, reading it by itself, turns an answer
// without framing into one with a length, and a cut one would pass for whole.
// On any error the connection is closed: what is left on it must never become
// the start of another caller's answer.
func readWhole(resp *fasthttp.Response, max int) error {
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
	case length == unframed:
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
