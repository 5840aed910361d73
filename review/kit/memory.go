package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const memoryInterval = 5 * time.Millisecond

// enforceMemory does what the platform does with a process that uses more memory than its machine has: it kills it.
// Only memory of the process's own is counted, neither its program nor what waits in the kernel.
func (d *deployment) enforceMemory() {
	for _, m := range append(append([]*machine{}, d.cores...), d.fronts...) {
		d.wait.Go(m.enforceMemory)
	}
}

func (m *machine) enforceMemory() {
	peak := 0
	for !m.d.isClosed() {
		time.Sleep(memoryInterval)
		m.mu.Lock()
		running, process := m.running, m.process
		m.mu.Unlock()
		if !running {
			continue
		}
		used := ownMegabytes(process.Pid)
		peak = max(peak, used)
		if used > m.memory {
			m.d.record.add(m.name, "uses %d MB of %d, the platform kills it", used, m.memory)
			m.d.noteKill(m)
			_ = process.Signal(syscall.SIGKILL)
			time.Sleep(restartDelay)
		}
	}
	m.d.record.add(m.name, "used %d MB at most", peak)
}

// ownMegabytes returns how much anonymous memory a process holds.
func ownMegabytes(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(text, "kB")))
			return kilobytes / 1024
		}
	}
	return 0
}
