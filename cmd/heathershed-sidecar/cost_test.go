package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathershed/internal/platform/fake"
	"heathershed/internal/platform/standin"
	"heathershed/internal/settings"
	"heathershed/platform"
	"heathershed/platform/platformtest"
)

const (
	// asProgram is the environment variable that makes the test binary run as
	// the program itself.
	asProgram = "HEATHERSHED_TEST_AS_PROGRAM"
	// costNodes and costServices are the shape of the fleet. costRate is the
	// number of client requests per second at each node.
	costNodes    = 16
	costServices = 4
	costRate     = 200
	// costClients is the number of clients of each node.
	costClients = 8
	// costRest and costTime are how long the fleet is measured idle and under
	// load.
	costRest = 5 * time.Second
	costTime = 10 * time.Second
	// costSettle is how long the processes are left to settle before each
	// measurement.
	costSettle = 3 * time.Second
	// costWaitTimeout bounds the wait for all nodes to serve.
	costWaitTimeout = 20 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a heathershed-sidecar process with the upstream beside it.
type process struct {
	cmd     *exec.Cmd
	clients string
	service string
}

// BenchmarkProcesses measures the cost of the program as separate processes
// with one core each: processor time when idle and per request, and peak
// memory. Run it with -benchtime 1x.
func BenchmarkProcesses(b *testing.B) {
	for b.Loop() {
		measureProcesses(b)
	}
}

func measureProcesses(b *testing.B) {
	store := startStore(b)
	processes := make([]*process, costNodes)
	for i := range processes {
		processes[i] = startProcess(b, store, i)
	}
	awaitServing(b, processes)
	time.Sleep(costSettle)
	atRest := cpuUsage(b, processes, costRest, func() {})
	var asked, failed atomic.Int64
	warm, cancel := context.WithTimeout(b.Context(), costSettle)
	sendLoad(warm, processes, new(atomic.Int64), &failed)
	cancel()
	inUse := cpuUsage(b, processes, costTime, func() {
		ctx, cancel := context.WithTimeout(b.Context(), costTime)
		defer cancel()
		sendLoad(ctx, processes, &asked, &failed)
	})
	b.ReportMetric(100*atRest/costNodes, "rest-core%/node")
	b.ReportMetric(100*inUse/costNodes, "core%/node")
	b.ReportMetric(inUse*costTime.Seconds()*1e6/float64(asked.Load()), "cpu-us/call")
	b.ReportMetric(peakMemory(b, processes), "peak-MiB/node")
	b.ReportMetric(float64(failed.Load()), "failed")
	for _, p := range processes {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait() // reports the kill
	}
}

func startStore(b *testing.B) (address string) {
	store := fake.New()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := standin.New(store)
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	var services []string
	for i := range costServices {
		services = append(services, service(i))
	}
	o := platform.Object{Name: platform.ConfigName, Spec: []byte(platformtest.Config(1, services...))}
	if _, err := platform.NewObjectClient(l.Addr().String()).Put(b.Context(), platform.ConfigKind, o); err != nil {
		b.Fatal(err)
	}
	return l.Addr().String()
}

func service(i int) string { return fmt.Sprint("s", i%costServices) }

func startProcess(b *testing.B, store string, i int) *process {
	ip := fmt.Sprintf("127.0.90.%d", 1+i)
	cfg := &settings.Sidecar{
		VM: fmt.Sprint("vm-", i), Datacentre: fmt.Sprint("dc", i/costServices), Region: "r", Service: service(i),
		Clients: ip + ":7001", Link: ip + ":7002", Ready: ip + ":7003", Heartbeats: ip + ":7004", Metrics: ip + ":7005",
		Upstream: ip + ":8080", Platform: store, LogLevel: "info",
		ApplyWithin: 2 * time.Second, Grace: time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, Memory: 256 << 20,
	}
	var text bytes.Buffer
	if err := cfg.Print(&text); err != nil {
		b.Fatal(err)
	}
	ini := filepath.Join(b.TempDir(), "node.ini")
	if err := os.WriteFile(ini, text.Bytes(), 0o600); err != nil {
		b.Fatal(err)
	}
	serveUpstream(b, cfg.Upstream)
	cmd := exec.Command(os.Args[0], "-config", ini)
	cmd.Env = append(os.Environ(), asProgram+"=1", "GOMAXPROCS=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	go sendHeartbeats(b.Context(), cfg)
	return &process{cmd: cmd, clients: cfg.Clients, service: cfg.Service}
}

func serveUpstream(b *testing.B, address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	s := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
		rc.Response.Header.SetBytesV(platformtest.HeaderAttempt, rc.Request.Header.Peek(platformtest.HeaderAttempt))
		rc.Response.Header.Set(platformtest.HeaderSeal, "seal")
		rc.SetBodyString("whole answer")
	}}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Shutdown() })
}

// sendHeartbeats sends a heartbeat of the upstream every second.
func sendHeartbeats(ctx context.Context, cfg *settings.Sidecar) {
	for seq := 1; ctx.Err() == nil; seq++ {
		body := platformtest.Heartbeat(cfg.Service, cfg.Upstream, "ready", seq)
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + cfg.Heartbeats + platformtest.HeartbeatPath("i-"+cfg.VM))
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(body)
		pause := time.Second
		if err := fasthttp.Do(req, resp); err != nil {
			pause /= 20 // the node is still starting
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		time.Sleep(pause)
	}
}

func awaitServing(b *testing.B, processes []*process) {
	for _, p := range processes {
		client := &fasthttp.HostClient{Addr: p.clients}
		for i := range costServices {
			until := time.Now().Add(costWaitTimeout)
			for !sendRequest(client, service(i), 0) {
				if time.Now().After(until) {
					b.Fatal("a node did not serve in time")
				}
				time.Sleep(costWaitTimeout / 400)
			}
		}
	}
}

// sendRequest sends one request and reports whether it was answered with
// status 200.
func sendRequest(client *fasthttp.HostClient, service string, number int64) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://h/" + service + "/1")
	req.Header.Set(platformtest.HeaderAttempt, "a-"+client.Addr+"-"+strconv.FormatInt(number, 10))
	req.Header.Set(platformtest.HeaderRemaining, "2500")
	err := client.Do(req, resp)
	return err == nil && resp.StatusCode() == fasthttp.StatusOK
}

// sendLoad sends requests at a constant rate to each node until ctx ends.
func sendLoad(ctx context.Context, processes []*process, asked, failed *atomic.Int64) {
	var all sync.WaitGroup
	for _, p := range processes {
		client := &fasthttp.HostClient{Addr: p.clients, MaxConns: costClients}
		for i := range costClients {
			all.Go(func() {
				ticker := time.NewTicker(costClients * time.Second / costRate)
				defer ticker.Stop()
				for n := int64(i); ctx.Err() == nil; n++ {
					<-ticker.C
					asked.Add(1)
					if !sendRequest(client, service(int(n)), n*costClients+int64(i)) {
						failed.Add(1)
					}
				}
			})
		}
	}
	all.Wait()
}

// cpuUsage returns the number of cores that the processes use while do runs.
func cpuUsage(b *testing.B, processes []*process, during time.Duration, do func()) float64 {
	began, from := time.Now(), cpuTime(b, processes)
	do()
	time.Sleep(during - time.Since(began))
	return (cpuTime(b, processes) - from) / time.Since(began).Seconds()
}

// cpuTime returns the processor time that the processes have used so far, in
// seconds.
func cpuTime(b *testing.B, processes []*process) (sum float64) {
	const user, system, ticks = 13, 14, 100
	for _, p := range processes {
		fields := strings.Fields(procFile(b, p, "stat"))
		for _, at := range []int{user, system} {
			n, err := strconv.ParseFloat(fields[at], 64)
			if err != nil {
				b.Fatal(err)
			}
			sum += n / ticks
		}
	}
	return sum
}

// peakMemory returns the mean peak of the processes' resident memory, in MiB.
func peakMemory(b *testing.B, processes []*process) (mean float64) {
	for _, p := range processes {
		_, rest, _ := strings.Cut(procFile(b, p, "status"), "VmHWM:")
		kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		if err != nil {
			b.Fatal(err)
		}
		mean += kib / (1 << 10) / float64(len(processes))
	}
	return mean
}

func procFile(b *testing.B, p *process, name string) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name))
	if err != nil {
		b.Fatal(err)
	}
	return string(text)
}
