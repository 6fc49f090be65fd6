package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is the memory_mb of a voter in bytes. The platform kills a process that uses more.
	memoryLimit = 280 << 20
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 100 * time.Millisecond
)

// memoryGuard kills each voter that uses more memory than it may, and starts it again, as the platform does.
type memoryGuard struct {
	rig *rig

	mu sync.Mutex
	// kills has the number of kills of each voter, and highest the largest memory seen of any of them.
	kills   map[string]int
	highest int64
}

// guardMemory watches all voters until the case is over.
func (r *rig) guardMemory() *memoryGuard {
	g := &memoryGuard{rig: r, kills: map[string]int{}}
	for _, p := range r.voters {
		go g.watch(p)
	}
	return g
}

func (g *memoryGuard) watch(p *process) {
	for {
		select {
		case <-g.rig.closed:
			return
		case <-time.After(memoryInterval):
		}
		used := p.memory()
		g.mu.Lock()
		g.highest = max(g.highest, used)
		g.mu.Unlock()
		if used <= memoryLimit {
			continue
		}
		g.mu.Lock()
		g.kills[p.address]++
		g.mu.Unlock()
		g.rig.recordf("platform: kills voter %s, which uses %d MB of %d", p.address, used>>20, memoryLimit>>20)
		p.kill()
		time.Sleep(restartDelay)
		select {
		case <-g.rig.closed:
			return
		default:
		}
		if err := p.start(false); err != nil {
			g.rig.recordf("platform: cannot start %s: %v", p.address, err)
		}
	}
}

// summary says how often voters were killed.
func (g *memoryGuard) summary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("kills of voters over their memory: %v, most memory seen %d MB", g.kills, g.highest>>20)
}

// often returns the number of voters that were killed three times or more.
func (g *memoryGuard) often() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, kills := range g.kills {
		if kills >= 3 {
			count++
		}
	}
	return count
}

// memory returns the resident memory of the process in bytes, or 0 if it isn't running.
func (p *process) memory() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
