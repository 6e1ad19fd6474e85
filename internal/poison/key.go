package poison

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Key identifies the content of a request: what its upstream gets from its
// caller. Two requests with one Key are taken for the same request.
type Key uint64

// String returns the key as it is logged, in hexadecimal digits.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// KeyOf returns the key of a request. caller is the service that it comes from.
func KeyOf(method, host, uri, caller string, body []byte) Key {
	d := xxhash.New()
	for _, part := range []string{method, host, uri, caller} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Key(d.Sum64())
}

// End identifies the end of one upstream instance.
type End uint64

// EndOf returns the End of an instance beside a VM.
func EndOf(vm, instance string) End { return End(xxhash.Sum64String(vm + "\x00" + instance)) }
