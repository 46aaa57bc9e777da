package standin

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// RunProxy is the yardstick for the request path: a plain reverse proxy that
// does nothing but pass requests on, until the context ends.
func RunProxy(ctx context.Context, address, target string) error {
	ln, err := transport.Listen(address)
	if err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return transport.Error.Wrap(err)
	}
	client := transport.NewClient(nil, host).Host(target)
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		c.Request.Header.Del("Connection")
		if err := client.Do(&c.Request, &c.Response); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadGateway)
		}
	}}
	return transport.ServeHTTP(ctx, server, ln)
}
