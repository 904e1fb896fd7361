package faults

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes TCP connections on and harms them when told to.
type proxy struct {
	listener net.Listener
	target   string
	// delay holds bytes up, in nanoseconds; stopTo and stopFrom swallow what goes
	// to the target or comes from it, connections staying open.
	delay            atomic.Int64
	stopTo, stopFrom atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newProxy(address, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(conn)
	}
}

// carry passes one connection on until either side ends it. A target that takes
// none looks like one that closes at once.
func (p *proxy) carry(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.track(in, out, true)
	defer p.track(in, out, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(out, in, &p.stopTo); done <- struct{}{} }()
	go func() { p.copy(in, out, &p.stopFrom); done <- struct{}{} }()
	<-done
	_, _ = in.Close(), out.Close()
	<-done
}

func (p *proxy) track(in, out net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{in, out} {
		if open {
			p.conns[c] = struct{}{}
		} else {
			delete(p.conns, c)
		}
	}
}

// proxyBuffer is the number of bytes passed on at once.
const proxyBuffer = 16 << 10

func (p *proxy) copy(to, from net.Conn, stop *atomic.Bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !stop.Load() {
			time.Sleep(time.Duration(p.delay.Load()))
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// resetAll ends all open connections with a reset.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// heal ends delay and silence.
func (p *proxy) heal() {
	p.delay.Store(0)
	p.stopTo.Store(false)
	p.stopFrom.Store(false)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
