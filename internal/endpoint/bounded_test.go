package endpoint

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestBytesBetweenTwoWritesAreBounded(t *testing.T) {
	const bound = 10
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := Bounded(plain, bound)
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	_ = near.SetDeadline(time.Now().Add(time.Second))
	for range 3 {
		if _, err := far.Write(make([]byte, bound)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(near, make([]byte, bound)); err != nil {
			t.Fatalf("within the bound: got %v", err)
		}
		if _, err := near.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := far.Write(make([]byte, 2*bound)); err != nil {
		t.Fatal(err)
	}
	if n, err := io.ReadFull(near, make([]byte, 2*bound)); n != bound || !errors.Is(err, errTooManyBytes) {
		t.Errorf("over the bound: read %d bytes, %v; want %d and an error", n, err, bound)
	}
}
