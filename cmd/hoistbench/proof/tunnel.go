package proof

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// tunnel forwards the peer connections that one router opens, and blocks those to chosen peers.
//
// gRPC connects to it as an HTTP CONNECT proxy, which a router takes from its environment. The forwarder therefore knows
// both ends of each connection.
type tunnel struct {
	address         string
	server          *http.Server
	mutex           sync.Mutex
	blockedPorts    map[string]bool
	openConnections map[net.Conn]string
}

// newTunnel starts a forwarder on a free address.
func newTunnel() (*tunnel, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for a tunnel")
	}
	t := &tunnel{address: l.Addr().String(), blockedPorts: map[string]bool{}, openConnections: map[net.Conn]string{}}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serveConnect)}
	go func() { _ = t.server.Serve(l) }()
	return t, nil
}

// serveConnect serves one CONNECT request.
func (t *tunnel) serveConnect(w http.ResponseWriter, r *http.Request) {
	_, port, err := net.SplitHostPort(r.Host)
	if err != nil || r.Method != http.MethodConnect {
		http.Error(w, "only CONNECT to an address", http.StatusBadRequest)
		return
	}
	upstream, err := (&net.Dialer{}).DialContext(r.Context(), "tcp", "127.0.0.1:"+port)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = upstream.Close() }()
	if !t.register(upstream, port) {
		http.Error(w, "cut", http.StatusBadGateway)
		return
	}
	defer t.unregister(upstream)
	downstream, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = downstream.Close() }()
	if _, err := io.WriteString(downstream, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		_, _ = io.Copy(upstream, buffered)
	}()
	go func() {
		defer cancel()
		_, _ = io.Copy(downstream, upstream)
	}()
	<-ctx.Done()
}

// register records a connection, or returns false if its port is blocked.
func (t *tunnel) register(c net.Conn, port string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.blockedPorts[port] {
		return false
	}
	t.openConnections[c] = port
	return true
}

func (t *tunnel) unregister(c net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.openConnections, c)
}

// block closes the connections to the ports and refuses new ones until unblock is called.
func (t *tunnel) block(ports ...string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, p := range ports {
		t.blockedPorts[p] = true
	}
	for c, p := range t.openConnections {
		if t.blockedPorts[p] {
			_ = c.Close()
		}
	}
}

// unblock allows connections to every port again.
func (t *tunnel) unblock() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.blockedPorts = map[string]bool{}
}

func (t *tunnel) connectionCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.openConnections)
}

// close stops the forwarder and closes its connections.
func (t *tunnel) close() {
	_ = t.server.Close()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for c := range t.openConnections {
		_ = c.Close()
	}
}
