package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// proxy relays the connections of one machine to one core machine. It can cut them off: what is
// on its way then is held up, as by a network that loses packets, and arrives late.
type proxy struct {
	target string
	rec    *record
	ln     net.Listener

	mu       sync.Mutex
	trigger  []byte        // the request that begins the disruption, nil for none
	whole    time.Duration // how long all connections are cut off, 0 to hold up that one only
	late     time.Duration // when what was on its way arrives
	cutUntil time.Time
	lateAt   time.Time
	begun    chan struct{} // closed when the disruption begins
}

func newProxy(rec *record, address, target string) (*proxy, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, rec: rec, ln: ln, begun: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) close() { p.ln.Close() }

// arm makes the next request with this text begin the disruption.
func (p *proxy) arm(trigger string, whole, late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trigger, p.whole, p.late = []byte(trigger), whole, late
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.relay(c)
	}
}

// relay serves one connection. A connection that is opened during the cut reaches its target
// after it.
func (p *proxy) relay(client net.Conn) {
	defer client.Close()
	p.mu.Lock()
	wait := time.Until(p.cutUntil)
	p.mu.Unlock()
	time.Sleep(wait)
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	opened := time.Now()
	go func() {
		p.copy(client, server, opened, false)
		client.Close()
	}()
	p.copy(server, client, opened, true)
	server.(*net.TCPConn).CloseWrite()
	time.Sleep(time.Second) // the target may still answer
}

// copy relays one direction of a connection.
func (p *proxy) copy(to, from net.Conn, opened time.Time, request bool) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			time.Sleep(p.delay(b[:n], opened, request))
			if _, werr := to.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			time.Sleep(p.delay(nil, opened, request))
			return
		}
	}
}

// delay returns how long bytes are held up.
func (p *proxy) delay(b []byte, opened time.Time, request bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if request && p.trigger != nil && bytes.Contains(b, p.trigger) {
		p.rec.printf("proxy: %s is held up for %v; all of the machine's connections are cut off for %v", p.trigger, p.late, p.whole)
		p.trigger, p.cutUntil, p.lateAt = nil, now.Add(p.whole), now.Add(p.late)
		close(p.begun)
		return p.late
	}
	if now.Before(p.cutUntil) && opened.Before(p.cutUntil) {
		return time.Until(p.lateAt)
	}
	return 0
}
