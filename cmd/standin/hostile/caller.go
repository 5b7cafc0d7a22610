// Package hostile acts as callers that do not keep to the limits of a router: bodies that never end, that exceed the limit or
// that arrive in very small chunks, and connections that stay idle.
package hostile

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout bounds the opening of one connection, writeTimeout each write, and sendTimeout the whole of what one caller
	// sends, so that a router that does not read cannot block the crowd.
	dialTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	sendTimeout  = 4 * time.Second
	// chunkBytes is the size of the chunks of a body that is not sent in very small ones.
	chunkBytes = 64 << 10
	// smallChunks is the number of one-byte chunks in one write.
	smallChunks = 4096
)

// Behaviour is what one hostile caller sends.
//
//sumtype:decl
type Behaviour interface{ behaviour() }

// Unfinished sends Bytes of a chunked body in large chunks and neither ends the body nor closes the connection.
type Unfinished struct{ Bytes int }

// SmallChunks sends Bytes of a chunked body in chunks of one byte and does not end it.
type SmallChunks struct{ Bytes int }

// Oversized announces a body of Bytes and sends it.
type Oversized struct{ Bytes int }

// Withheld announces a body of Announced bytes and sends only Sent of them.
type Withheld struct{ Announced, Sent int }

// Unread sends a request for the path and does not read the response.
type Unread struct{ Path string }

// ShortFields sends a header of Bytes in very short fields and a body that it does not end.
type ShortFields struct{ Bytes int }

// Idle sends nothing.
type Idle struct{}

func (Unfinished) behaviour()  {}
func (SmallChunks) behaviour() {}
func (Oversized) behaviour()   {}
func (Withheld) behaviour()    {}
func (Unread) behaviour()      {}
func (ShortFields) behaviour() {}
func (Idle) behaviour()        {}

// Crowd is a number of hostile callers whose connections stay open.
type Crowd struct {
	mu          sync.Mutex
	connections []net.Conn
}

// Secret is the secret of the hostile callers at a router with its own interface.
const Secret = "hostile-secret"

// readPath is the path of the requests at a forwarding router.
const readPath = "/read/x"

// Start is StartFor with the path of a forwarding router.
func Start(address string, behaviours ...Behaviour) *Crowd {
	return StartFor(address, readPath, behaviours...)
}

// StartFor connects one caller for each behaviour to the address, with requests for the path, and returns when each has sent what its behaviour says or the
// router has ended its connection. The callers have addresses different from 127.0.0.1, each a small number of connections.
func StartFor(address, path string, behaviours ...Behaviour) *Crowd {
	c := &Crowd{}
	var group sync.WaitGroup
	for i, b := range behaviours {
		group.Go(func() {
			d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(i%200)+1)}}
			x, err := d.Dial("tcp", address)
			if err != nil {
				return // The router has refused the connection.
			}
			c.mu.Lock()
			c.connections = append(c.connections, x)
			c.mu.Unlock()
			_ = send(x, path, b) // An error means that the router has ended the connection.
		})
	}
	group.Wait()
	return c
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.connections {
		_ = x.Close() // The router may have closed it.
	}
	c.connections = nil
}

// head is the head of a hostile request; its arguments are the method, the path and the header field that frames the body.
const head = "%s %s HTTP/1.1\r\nHost: a.example\r\nChicoryhoist-Key: k1\r\nAuthorization: Bearer " + Secret + "\r\nChicoryhoist-Request-Id: hostile\r\n%s\r\n\r\n"

const chunked = "Transfer-Encoding: chunked"

// send sends what the behaviour says.
func send(x net.Conn, path string, b Behaviour) error {
	switch b := b.(type) {
	case Unfinished:
		return sendChunks(x, path, b.Bytes, chunkBytes, 1)
	case SmallChunks:
		return sendChunks(x, path, b.Bytes, 1, smallChunks)
	case Oversized:
		return sendAnnounced(x, path, b.Bytes, b.Bytes)
	case Withheld:
		return sendAnnounced(x, path, b.Announced, b.Sent)
	case Unread:
		return write(x, fmt.Appendf(nil, head, "GET", b.Path, "Content-Length: 0"))
	case ShortFields:
		return sendShortFields(x, path, b.Bytes)
	case Idle:
		return nil
	}
	return nil
}

// sendChunks sends a chunked body of the given number of bytes in chunks of size bytes, count of them in each write.
func sendChunks(x net.Conn, path string, total, size, count int) error {
	if err := write(x, fmt.Appendf(nil, head, "POST", path, chunked)); err != nil {
		return err
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size))
	block := bytes.Repeat(chunk, count)
	return sendBlocks(x, block, total/(size*count))
}

// sendShortFields sends a header of the given number of bytes, in fields of six bytes, and the beginning of a body.
func sendShortFields(x net.Conn, path string, total int) error {
	lines := strings.Split(fmt.Sprintf(head, "POST", path, chunked), "\r\n")
	first, rest := lines[0]+"\r\n", strings.Join(lines[1:], "\r\n")
	var b strings.Builder
	b.WriteString(first)
	for i := 0; b.Len()+len(rest)+len("abcd:\r\n") <= total; i++ {
		b.WriteString(fieldName(i) + ":\r\n")
	}
	b.WriteString(rest)
	return write(x, fmt.Appendf(nil, "%s400\r\n%s\r\n", b.String(), bytes.Repeat([]byte("x"), 0x400)))
}

// fieldName returns a name of four letters that differs for each of the first 26^3 numbers.
func fieldName(i int) string {
	const letters = 26
	return string([]byte{'x', 'a' + byte(i/letters/letters%letters), 'a' + byte(i/letters%letters), 'a' + byte(i%letters)})
}

// sendAnnounced announces a body and sends a part of it.
func sendAnnounced(x net.Conn, path string, announced, sent int) error {
	if err := write(x, fmt.Appendf(nil, head, "POST", path, fmt.Sprint("Content-Length: ", announced))); err != nil {
		return err
	}
	block := bytes.Repeat([]byte("x"), min(sent, chunkBytes))
	return sendBlocks(x, block, sent/len(block))
}

// sendBlocks writes the block a number of times, for sendTimeout at most.
func sendBlocks(x net.Conn, block []byte, count int) error {
	for end := time.Now().Add(sendTimeout); count > 0 && time.Now().Before(end); count-- {
		if err := write(x, block); err != nil {
			return err
		}
	}
	return nil
}

// write writes the bytes within writeTimeout.
func write(x net.Conn, b []byte) error {
	if err := x.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return eris.Wrap(err, "set write deadline")
	}
	_, err := x.Write(b)
	return eris.Wrap(err, "write")
}
