// Package transport carries typed messages between the system's own processes: MessagePack
// bodies over HTTP/1.1, with mutual TLS if the settings name keys.
package transport

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("transport")

// Encode returns the wire form of a message.
func Encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	return b, Error.Wrap(err)
}

// Decode reads a message and rejects trailing bytes.
func Decode(b []byte, v any) error {
	r := bytes.NewReader(b)
	if err := msgpack.NewDecoder(r).Decode(v); err != nil {
		return Error.New("a message cannot be read (%v); run the same version on both sides", err)
	}
	if r.Len() > 0 {
		return Error.New("a message has %d bytes too many; run the same version on both sides", r.Len())
	}
	return nil
}
