package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"
)

// largeBody is the limit maxBodyBytes of the platform's own deployments, in bytes.
const largeBody = 64 << 20

// chunked hides the length of a body, so that it is sent in chunks.
type chunked struct{ io.Reader }

// Guards against a request within the configured limits that is refused although
// nothing else goes on.
func TestOneBodyWithinTheLimitsIsServed(t *testing.T) {
	f := startFleet(t, largeBody)
	random := rand.NewChaCha8([32]byte{})
	for _, size := range []int{12 << 20, 33 << 20, 63 << 20, largeBody} {
		body := make([]byte, size)
		_, _ = random.Read(body)
		sum := crc32.ChecksumIEEE(body)
		for _, path := range []string{"/a-order/", "/b-order/", "/a/", "/b/"} {
			if err := f.nodes[0].requestFrom("POST", path, bytes.NewReader(body), size, sum); err != nil {
				t.Errorf("%s, %d MiB with a length: %v", path, size>>20, err)
			}
			if err := f.nodes[0].requestFrom("POST", path, chunked{bytes.NewReader(body)}, size, sum); err != nil {
				t.Errorf("%s, %d MiB in chunks: %v", path, size>>20, err)
			}
		}
	}
	f.checkServed(1)
}

// Guards against a refusal that does not reach its client, because the connection is
// reset while the client still sends.
func TestRefusedClientReadsTheRefusal(t *testing.T) {
	const excess = 6 << 20 // bytes
	f := startFleet(t, maxBody)
	for _, path := range []string{"/a-order/", "/b/"} {
		for _, framing := range []string{fmt.Sprint("Content-Length: ", maxBody+excess), "Transfer-Encoding: chunked"} {
			for range 4 {
				if err := f.sendAndRead(path, framing, maxBody+excess); err != nil {
					t.Errorf("%s, %s: %v", path, framing, err)
				}
			}
		}
	}
	f.checkServed(1)
}

// sendAndRead sends a request whose body is over the limit completely, and only then
// reads its answer.
func (f *fleet) sendAndRead(path, framing string, size int) error {
	c, err := net.Dial("tcp", f.nodes[0].cfg.Clients)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	w := bufio.NewWriter(c)
	_, _ = w.WriteString(head(path, framing))
	if framing == "Transfer-Encoding: chunked" {
		_, _ = fmt.Fprintf(w, "%x\r\n", size)
	}
	if _, err := w.Write(make([]byte, size)); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		return fmt.Errorf("got status %d, want 413", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
