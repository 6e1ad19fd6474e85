package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is how often the usage of a process is read.
const sampleInterval = 100 * time.Millisecond

// usage records what a process holds. It is safe for concurrent use.
type usage struct {
	pid int

	mu sync.Mutex
	// resident is the peak of the resident memory, queued that of the kernel's queues of
	// the process's sockets, total that of their sum, all in bytes, and descriptors that
	// of the open descriptors.
	resident, queued, total int64
	descriptors             int
	err                     error
	// mayEnd says that the process was told to stop, so that it may be gone.
	mayEnd bool
}

func newUsage(pid int) *usage { return &usage{pid: pid} }

// run reads the usage until stop is closed.
func (u *usage) run(stop <-chan struct{}) {
	for {
		u.sample()
		select {
		case <-stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// expectEnd says that the process may be gone from now on.
func (u *usage) expectEnd() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mayEnd = true
}

// sample reads the usage once.
func (u *usage) sample() {
	peak, now, err := residentMemory(u.pid)
	sockets, descriptors, fdErr := openSockets(u.pid)
	queued, queueErr := queuedBytes(sockets)
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range []error{err, fdErr, queueErr} {
		if u.err == nil && !u.mayEnd {
			u.err = e
		}
	}
	u.resident = max(u.resident, peak)
	u.queued = max(u.queued, queued)
	u.total = max(u.total, now+queued)
	u.descriptors = max(u.descriptors, descriptors)
}

// residentMemory returns the peak and the present resident memory of a process, in
// bytes.
func residentMemory(pid int) (peak, now int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		kib, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch name {
		case "VmHWM":
			peak = kib << 10
		case "VmRSS":
			now = kib << 10
		}
	}
	if peak == 0 {
		return 0, 0, fmt.Errorf("process %d has ended", pid)
	}
	return peak, now, nil
}

// openSockets returns the inodes of the sockets of a process and the number of its open
// descriptors.
func openSockets(pid int) (inodes map[string]bool, descriptors int, err error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	inodes = make(map[string]bool)
	for _, e := range entries {
		link, err := os.Readlink(dir + "/" + e.Name())
		if err != nil {
			continue // closed meanwhile
		}
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(entries), err
}

// queuedBytes returns the bytes that the kernel holds for sockets: received and not yet
// read, or written and not yet acknowledged.
func queuedBytes(inodes map[string]bool) (int64, error) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	const queues, inode, listening = 4, 9, "0A"
	var total int64
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) <= inode || f[3] == listening || !inodes[f[inode]] {
			continue
		}
		sent, received, _ := strings.Cut(f[queues], ":")
		for _, hex := range []string{sent, received} {
			n, err := strconv.ParseInt(hex, 16, 64)
			if err != nil {
				return 0, err
			}
			total += n
		}
	}
	return total, nil
}

// check reports an error if the process has ended or its usage is over a bound.
func (n *node) check(connections int) {
	n.t.Helper()
	u := n.usage
	u.sample()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		n.t.Errorf("%s: %v", n.cfg.VM, u.err)
		return
	}
	n.t.Logf("%s: peak %d MiB resident, %d MiB queued, %d MiB together of %d, %d descriptors",
		n.cfg.VM, u.resident>>20, u.queued>>20, u.total>>20, memory>>20, u.descriptors)
	if u.resident > memory {
		n.t.Errorf("%s: peak memory %d MiB, want at most %d", n.cfg.VM, u.resident>>20, memory>>20)
	}
	if u.total > memory {
		n.t.Errorf("%s: memory and queues of the kernel peak at %d MiB together, want at most %d", n.cfg.VM, u.total>>20, memory>>20)
	}
	if u.descriptors > connections+reserve {
		n.t.Errorf("%s: %d descriptors, want at most %d", n.cfg.VM, u.descriptors, connections+reserve)
	}
}
