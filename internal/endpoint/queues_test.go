package endpoint

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against bytes in the queues of the kernel that no budget counts, and against small
// queues that slow a client down.
func TestSmallQueuesHoldLittle(t *testing.T) {
	const most = 128 << 10 // bytes, each way
	var l net.Listener
	if err := Listen(Binding{Name: "small", Address: "127.0.0.1:0", Listener: &l, SmallQueues: true}); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	_ = client.(*net.TCPConn).SetReadBuffer(4 << 10)
	for _, c := range []net.Conn{client, server} {
		_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = c.Write(make([]byte, 32<<20)) // nobody reads
	}
	unread := 0
	err = Control(server, func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	if err != nil || unread > most {
		t.Errorf("%d bytes wait to be read, %v; want at most %d", unread, err, most)
	}
	if got := Unacknowledged(server); got > most || got == 0 || HasTaken(server) {
		t.Errorf("%d bytes wait to be acknowledged, want at most %d", got, most)
	}
	_ = server.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.CopyN(io.Discard, server, int64(unread)); err != nil {
		t.Errorf("what was received can't be read: %v", err)
	}
}
