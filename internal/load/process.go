package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"heathershed/internal/report"
)

const (
	// ticksPerSecond is the number of ticks in a second. /proc on Linux counts
	// processor times in ticks.
	ticksPerSecond = 100
	// Positions of fields in /proc/PID/stat, counted after the command name.
	statUserTicks   = 11
	statSystemTicks = 12
)

// Processes maps VM names to process ids, as written by the script that started
// the processes: lines "NAME PID".
type Processes map[string]int

// ReadProcesses reads the file. An empty file name gives no processes.
func ReadProcesses(file string) (Processes, error) {
	out := make(Processes)
	if file == "" {
		return out, nil
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "processes")
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		name, pid, ok := strings.Cut(lines.Text(), " ")
		n, err := strconv.Atoi(pid)
		if !ok || err != nil || n <= 1 {
			return nil, errors.Newf("processes: %s: line %q: want NAME PID", file, lines.Text())
		}
		out[name] = n
	}
	return out, lines.Err()
}

// signal sends a signal to the VM's node. It fails if the process is unknown.
func (p Processes) signal(vm string, s syscall.Signal) error {
	pid, ok := p[vm]
	if !ok {
		return errors.Newf("process of %s is not known: give -pids", vm)
	}
	return errors.Wrapf(syscall.Kill(pid, s), "signal to %s", vm)
}

// Usage is the resource usage of one process over a period.
type Usage struct {
	VM string `json:"vm"`
	// CPUPercent is in percent of one core.
	CPUPercent float64 `json:"cpu_percent"`
	// PeakMB is the peak resident memory, in MiB.
	PeakMB float64 `json:"peak_mb"`
	// KBPerSecond counts the bytes that system calls read and wrote, on sockets
	// and elsewhere.
	KBPerSecond float64 `json:"kb_per_second"`
	// ControlKBPerSecond counts heartbeats, membership and documents in both
	// directions, as the node itself reports them.
	ControlKBPerSecond float64 `json:"control_kb_per_second"`
}

// sample is the state of a process at one time.
type sample struct {
	at    time.Time
	cpu   time.Duration
	peak  uint64 // bytes
	bytes uint64
	// control is the number of bytes of control traffic since the node's start.
	control uint64
}

// readSample reads the files in /proc of a process listed in Processes.
func readSample(pid int) (sample, error) {
	s := sample{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return s, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSystemTicks {
		return s, errors.New("stat has too few fields")
	}
	user, _ := strconv.ParseInt(fields[statUserTicks], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemTicks], 10, 64)
	s.cpu = time.Duration(user+system) * time.Second / ticksPerSecond
	s.peak = procValue(pid, "status", "VmHWM:") * 1024
	s.bytes = procValue(pid, "io", "rchar:") + procValue(pid, "io", "wchar:")
	return s, nil
}

// controlBytes returns a node's control traffic so far, or 0 if the node does
// not answer.
func controlBytes(vm VM) uint64 {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+vm.Admin+report.PathReport, adminTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return 0
	}
	var n report.Node
	if json.Unmarshal(body, &n) != nil {
		return 0
	}
	return n.Links.BytesSent + n.Links.BytesReceived
}

// procValue reads one number from a file in /proc with lines "name: value".
func procValue(pid int, file, name string) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == name {
			n, _ := strconv.ParseUint(fields[1], 10, 64)
			return n
		}
	}
	return 0
}

// usage returns the usage between two samples.
func usage(vm string, a, b sample) Usage {
	seconds := b.at.Sub(a.at).Seconds()
	return Usage{
		VM:          vm,
		CPUPercent:  100 * (b.cpu - a.cpu).Seconds() / seconds,
		PeakMB:      float64(b.peak) / (1 << 20),
		KBPerSecond: float64(b.bytes-a.bytes) / 1000 / seconds,

		ControlKBPerSecond: float64(b.control-a.control) / 1000 / seconds,
	}
}
