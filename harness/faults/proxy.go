package faults

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections and can delay, drop or reset their traffic. refuse,
// refusing and listen must not be called concurrently.
type proxy struct {
	listener net.Listener
	target   string
	// delay is the added delay for each chunk of data, in nanoseconds. dropToTarget
	// and dropFromTarget discard the data of one direction while the connections
	// stay open.
	delay                        atomic.Int64
	dropToTarget, dropFromTarget atomic.Bool
	// silences counts the calls of silenceConnections. Connections that were opened before
	// the last one carry no more data.
	silences atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// closed is set while new connections are refused.
	closed bool
}

// newProxy starts a proxy that listens on address and forwards to target.
func newProxy(address, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept(ln)
	return p, nil
}

// refuse makes the proxy refuse new connections, as the target does when its process has
// ended. listen ends that.
func (p *proxy) refuse() {
	p.closed = true
	_ = p.listener.Close()
}

// refusing reports whether the proxy refuses new connections.
func (p *proxy) refusing() bool { return p.closed }

func (p *proxy) listen() error {
	ln, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		return err
	}
	p.listener, p.closed = ln, false
	go p.accept(ln)
	return nil
}

// accept forwards connections until the listener is closed.
func (p *proxy) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward copies data in both directions until either side closes the connection. If
// the target does not accept, the incoming connection is reset.
func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConnection(client)
		return
	}
	p.trackConns(client, server, true)
	defer p.trackConns(client, server, false)
	openedAfter := p.silences.Load()
	silent := func() bool { return p.silences.Load() > openedAfter }
	done := make(chan struct{}, 2)
	go func() {
		p.copyBytes(server, client, func() bool { return silent() || p.dropToTarget.Load() })
		done <- struct{}{}
	}()
	go func() {
		p.copyBytes(client, server, func() bool { return silent() || p.dropFromTarget.Load() })
		done <- struct{}{}
	}()
	<-done
	if !silent() {
		_ = client.Close()
	}
	_ = server.Close()
	<-done
	_ = client.Close()
}

// silenceConnections makes all open connections carry no more data, nor their end. New ones
// work.
func (p *proxy) silenceConnections() { p.silences.Add(1) }

// trackConns adds both sides of a forwarded connection to the open connections or
// removes them.
func (p *proxy) trackConns(client, server net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{client, server} {
		if open {
			p.conns[c] = struct{}{}
		} else {
			delete(p.conns, c)
		}
	}
}

// copyBufferBytes is the largest number of bytes forwarded at once.
const copyBufferBytes = 16 << 10

// copyBytes copies data from one connection to the other and discards it while dropped
// reports true. Otherwise it passes on a half-close.
func (p *proxy) copyBytes(to, from net.Conn, dropped func() bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !dropped() {
			time.Sleep(time.Duration(p.delay.Load()))
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF && !dropped() {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// resetConnections closes all open connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConnection(c)
	}
}

// restore ends the delay and the dropping of data.
func (p *proxy) restore() {
	p.delay.Store(0)
	p.dropToTarget.Store(false)
	p.dropFromTarget.Store(false)
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
