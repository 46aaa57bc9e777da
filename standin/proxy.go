package standin

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// RunProxy runs a plain reverse proxy that only forwards requests, until the context ends. It is
// the baseline for measurements of the request path.
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
	server := transport.NewHTTPServer("proxy", transport.Processes, func(c *fasthttp.RequestCtx) {
		c.Request.Header.Del("Connection")
		if err := client.Do(&c.Request, &c.Response); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadGateway)
		}
	}, maxBodyBytes)
	return transport.ServeHTTP(ctx, server, ln)
}
