package cfgsvc_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chicoryhoist.example/hoist/cfgsvc"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/value"
)

func TestCfgsvc(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "cfgsvc")
}

// respond sends the response on the first connection and sends the request line to the channel; {*} stands for one byte more than
// the maximum size, and --crash at the end for the crash of the platform.
func respond(l net.Listener, response string, requestLine chan<- string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	line, _ := r.ReadString('\n')
	for text := line; strings.TrimSpace(text) != ""; {
		text, _ = r.ReadString('\n')
	}
	requestLine <- strings.TrimSpace(line)
	head, body, _ := strings.Cut(response, "\n\n")
	body = strings.ReplaceAll(strings.TrimSpace(body), "{*}", strings.Repeat("x", 1<<20+1))
	body, crash := strings.CutSuffix(body, "--crash")
	if crash {
		_ = l.Close()
	}
	fmt.Fprint(c, strings.ReplaceAll(head, "\n", "\r\n"), "\r\nConnection: close\r\n\r\n", body)
}

// Guards against responses of an overloaded or faulty platform that are accepted as values.
var _ = ginkgo.Describe("Client", func() {
	for _, c := range golden.Cases("testdata") {
		ginkgo.It("reads "+c.Name, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer l.Close()
			call, response, _ := strings.Cut(c.Input, "\n")
			requestLine := make(chan string, 1)
			go respond(l, response, requestLine)
			client := cfgsvc.NewClient("http://" + l.Addr().String() + "/")
			defer client.Close()
			var d cfgsvc.Document
			var list value.InstanceList
			switch call {
			case "read":
				d, err = client.Read(context.Background(), "a/b")
			case "watch":
				d, err = client.Watch(context.Background(), "key", 4, 500)
			case "instances":
				list, err = client.WatchInstances(context.Background(), 4, 500)
			}
			out := fmt.Sprintf("%s\nversion %d content %q\n", <-requestLine, d.Version(), d.Content())
			for i := range list.Instances().All() {
				out += fmt.Sprintf("instance %s %s leaving %t\n", i.Name(), i.Address(), i.Leaving())
			}
			out += fmt.Sprintf("unchanged %t rate %t failed %t\n", errors.Is(err, cfgsvc.ErrUnchanged), errors.Is(err, cfgsvc.ErrRateLimited), err != nil)
			gomega.Expect(out).To(golden.Match(c.Path))
		})
	}
})
