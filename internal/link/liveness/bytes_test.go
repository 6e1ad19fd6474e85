package liveness_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"heathershed/api/link"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
)

// tcpIPHeader is the header size of one segment in bytes: IPv4, TCP, and the
// TCP timestamps that Linux sends.
const tcpIPHeader = 20 + 20 + 12

// countedConn counts the bytes and segments that one end of a connection writes.
type countedConn struct {
	net.Conn
	bytes, segments *atomic.Int64
}

func (c countedConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	c.segments.Add(1)
	return c.Conn.Write(b)
}

// echoServer answers each control frame with one that echoes its sequence
// number.
type echoServer struct{ link.UnimplementedLinkServer }

func (echoServer) Control(s grpc.BidiStreamingServer[link.ControlFrame, link.ControlFrame]) error {
	for {
		in, err := s.Recv()
		if err != nil {
			return err
		}
		if err := s.Send(heartbeat(in.Sequence, in.Sequence)); err != nil {
			return err
		}
	}
}

// heartbeat returns a control frame with all fields that an ordinary heartbeat
// carries.
func heartbeat(seq, echo uint64) *link.ControlFrame {
	const now = 1_790_000_000_000_000
	return &link.ControlFrame{
		Sequence: seq, Echo: echo, SentUnixUs: now, SentHlc: now << 10, Vm: "spanbook-dc1-017", Incarnation: now,
		Have: &link.Have{CatalogueVersion: 31_000, HomesVersion: 4_000, MembersDigest: 1 << 63, MembersCount: 600},
		Load: &link.Load{InFlight: 40, Limit: 55, QueueWaitUs: 900, Level: 300, ChainLevel: 300, LatencyUs: 9000},
	}
}

// BenchmarkHeartbeat sends heartbeats over a real link, each answered by its
// echo, and reports the bytes on the wire per round. It compares one detector
// per link with one for each of five kinds, and gRPC's adaptive flow-control
// windows, which it keeps adjusting by pings, with fixed ones.
func BenchmarkHeartbeat(b *testing.B) {
	const window = 1 << 20
	fixedServe := []grpc.ServerOption{grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window)}
	fixedDial := []grpc.DialOption{grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window)}
	for _, detectors := range []int{1, 5} {
		b.Run(fmt.Sprint("adaptive-window/detectors-", detectors), func(b *testing.B) { benchmarkHeartbeat(b, detectors, nil, nil) })
		b.Run(fmt.Sprint("fixed-window/detectors-", detectors), func(b *testing.B) { benchmarkHeartbeat(b, detectors, fixedServe, fixedDial) })
	}
}

func benchmarkHeartbeat(b *testing.B, detectors int, serve []grpc.ServerOption, dial []grpc.DialOption) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var bytes, segments atomic.Int64
	server := grpc.NewServer(serve...)
	link.RegisterLinkServer(server, echoServer{})
	go server.Serve(countedListener{listener, &bytes, &segments})
	defer server.Stop()
	dial = append(dial,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			return countedConn{c, &bytes, &segments}, err
		}))
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), dial...)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	stream, err := link.NewLinkClient(conn).Control(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	round := func(i int) {
		for range detectors {
			if err := stream.Send(heartbeat(uint64(i), 0)); err != nil {
				b.Fatal(err)
			}
		}
		for range detectors {
			if _, err := stream.Recv(); err != nil {
				b.Fatal(err)
			}
		}
	}
	for i := range 100 { // the handshake and the first window updates
		round(1_000_000 + i)
	}
	bytes.Store(0)
	segments.Store(0)
	n := 0
	for ; b.Loop(); n++ {
		round(1_000_000 + n)
	}
	perRound := func(v *atomic.Int64) float64 { return float64(v.Load()) / float64(n) }
	b.ReportMetric(float64(proto.Size(heartbeat(1_000_000, 1_000_000))), "proto-bytes")
	b.ReportMetric(perRound(&bytes), "http2-bytes")
	b.ReportMetric(perRound(&segments), "segments")
	b.ReportMetric(perRound(&bytes)+perRound(&segments)*tcpIPHeader, "wire-bytes")
}

// countedListener counts what accepted connections write.
type countedListener struct {
	net.Listener
	bytes, segments *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes, l.segments}, nil
}
