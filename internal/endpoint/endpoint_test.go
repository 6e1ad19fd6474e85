package endpoint

import (
	"net"
	"strings"
	"testing"
)

func TestListenOpensAllOrNone(t *testing.T) {
	var first, second net.Listener
	if err := Listen(Binding{Name: "first", Address: "127.0.0.1:0", Listener: &first}); err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	inUse := first.Addr().String()
	c, err := Dial(t.Context(), inUse)
	if err != nil {
		t.Fatal(err)
	}
	c.Close()

	var none net.Listener
	err = Listen(Binding{Name: "second", Address: "127.0.0.1:0", Listener: &second}, Binding{Name: "third", Address: inUse, Listener: &none})
	if err == nil || !strings.HasPrefix(err.Error(), "third: ") || none != nil {
		t.Fatalf("address in use: got error %v, listener %v; want an error for third and no listener", err, none)
	}
	if c, err := second.Accept(); err == nil {
		c.Close()
		t.Error("the listener opened before the failure is still open")
	}
}
