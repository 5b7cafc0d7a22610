// Package proxy forwards TCP connections on loopback and injects faults into them.
package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// chunkBytes bounds the bytes that are read from one side before they are forwarded.
	chunkBytes = 16 << 10
	// dialTimeout bounds the time to connect to the target.
	dialTimeout = time.Second
)

// Fault is a fault that affects all connections through a proxy.
//
//sumtype:decl
type Fault interface{ isFault() }

// PassThrough forwards everything without a fault.
type PassThrough struct{}

// Delay delays the forwarding of each chunk by the duration.
type Delay struct{ By time.Duration }

// HoldAll blocks both directions; new connections are accepted.
type HoldAll struct{}

// HoldRequests blocks the direction from clients to the target.
type HoldRequests struct{}

// HoldResponses blocks the direction from the target to clients.
type HoldResponses struct{}

// Reset resets every open connection and every new one.
type Reset struct{}

func (PassThrough) isFault()   {}
func (Delay) isFault()         {}
func (HoldAll) isFault()       {}
func (HoldRequests) isFault()  {}
func (HoldResponses) isFault() {}
func (Reset) isFault()         {}

// direction is the direction in which bytes are forwarded.
type direction int

const (
	toTarget direction = iota
	toClient
)

// Proxy forwards connections to one target. Bytes that a fault blocks are forwarded after it ends, as TCP would
// retransmit them.
type Proxy struct {
	target  string
	address string
	mu      sync.Mutex
	// listener is nil while the proxy is stopped.
	listener net.Listener
	closed   bool
	fault    Fault
	// changed is closed when the fault changes.
	changed     chan struct{}
	connections map[net.Conn]bool
}

// New starts a proxy on a free loopback port.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	p := &Proxy{
		listener: l, address: l.Addr().String(), target: target, fault: PassThrough{}, changed: make(chan struct{}), connections: map[net.Conn]bool{},
	}
	go p.accept(l)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Stop makes the proxy refuse connections and closes the open ones, as a target that has crashed does.
func (p *Proxy) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return
	}
	_ = p.listener.Close() // Nothing is left to close after an error.
	p.listener = nil
	for c := range p.connections {
		_ = c.Close() // Nothing is left to close after an error.
	}
}

// Restart makes a stopped proxy accept connections again.
func (p *Proxy) Restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// SetFault replaces the active fault.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if _, ok := f.(Reset); ok {
		for c := range p.connections {
			reset(c)
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() error {
	p.SetFault(Reset{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.listener == nil {
		return nil
	}
	return eris.Wrap(p.listener.Close(), "close")
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(c)
		}
	}
}

// serve forwards one connection until both directions have ended.
func (p *Proxy) serve(client net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil || !p.track(client, target) {
		reset(client)
		if target != nil {
			reset(target)
		}
		return
	}
	var group sync.WaitGroup
	group.Go(func() { p.copyDirection(client, target, toTarget) })
	group.Go(func() { p.copyDirection(target, client, toClient) })
	group.Wait()
	p.mu.Lock()
	delete(p.connections, client)
	delete(p.connections, target)
	p.mu.Unlock()
	_ = client.Close() // Both directions have ended.
	_ = target.Close()
}

// track records both sides of a connection, so that they can be reset; it returns false while Reset is active.
func (p *Proxy) track(client, target net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.fault.(Reset); ok {
		return false
	}
	p.connections[client], p.connections[target] = true, true
	return true
}

// copyDirection copies bytes in one direction until the source ends or a side fails.
func (p *Proxy) copyDirection(from, to net.Conn, d direction) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		p.awaitFlow(d)
		if n > 0 {
			if _, e := to.Write(buffer[:n]); e != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.(*net.TCPConn).CloseWrite() // The other side may have closed already.
			return
		default:
			reset(to)
			return
		}
	}
}

// awaitFlow waits until the active fault lets bytes pass in the direction.
func (p *Proxy) awaitFlow(d direction) {
	for {
		p.mu.Lock()
		fault, changed := p.fault, p.changed
		p.mu.Unlock()
		blocked := false
		switch f := fault.(type) {
		case Delay:
			time.Sleep(f.By)
		case HoldAll:
			blocked = true
		case HoldRequests:
			blocked = d == toTarget
		case HoldResponses:
			blocked = d == toClient
		case PassThrough, Reset:
		}
		if !blocked {
			return
		}
		<-changed
	}
}

// reset closes a connection so that its remote side receives a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Fails only on a connection that is already closed.
	}
	_ = c.Close()
}
