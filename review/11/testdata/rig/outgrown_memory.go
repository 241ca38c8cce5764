package main

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"time"
)

const (
	// manyRoutes is the number of routes of a site that has grown by many routes, fewRoutes that
	// of a small one.
	manyRoutes = 1640
	fewRoutes  = 15
	// manyChanges bounds the number of changes, changesTime the time in which they begin.
	manyChanges = 300
	changesTime = 70 * time.Second
	// changeLimit is the time in which a change is acknowledged, or no other one is sent.
	changeLimit = 15 * time.Second
	// quietTime is the time after the changes in which nothing is sent.
	quietTime = 15 * time.Second
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 100 * time.Millisecond
	// restartDelay is the time from the end of a process to the start of the next one.
	restartDelay = 700 * time.Millisecond
	// endsForFault is the number of ends of the processes of a machine that count as a fault.
	endsForFault = 3
)

func init() { cases["outgrown-memory"] = playOutgrownMemory }

// playOutgrownMemory changes a configuration of many routes some hundred times. As the platform
// does, it kills a core process that uses more than its limit of memory, and starts the next one.
// Nothing else happens. On half of the core no process may end three times. Without trouble the
// configuration has few routes.
func playOutgrownMemory(ctx context.Context, s *site, hasTrouble bool) (verdict, error) {
	routes := manyRoutes
	if !hasTrouble {
		routes = fewRoutes
	}
	cores, err := s.startCores(coreMachines)
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan *node, 1000)
	for _, n := range cores {
		go limitMemory(ctx, n, ends)
	}
	acknowledged := changeTimeouts(ctx, newOperator(s.record), cores, routes)
	duringChanges := countEnds(ends)
	s.record.add("%d changes were acknowledged; ends of processes until then: %v; bytes on the disks: %v", acknowledged, duringChanges, diskBytes(cores))
	if err := sleep(ctx, quietTime); err != nil {
		return verdict{}, err
	}
	after := countEnds(ends)
	s.record.add("ends of processes in %s in which nothing was sent: %v", quietTime, after)
	faulty, total := 0, 0
	for _, n := range cores {
		count := duringChanges[n.name] + after[n.name]
		total += count
		if count >= endsForFault {
			faulty++
		}
	}
	if 2*faulty < len(cores) {
		return held("processes used more than %d MB %d times; on %d of %d core machines they did so %d times; %d changes were acknowledged",
			coreMemoryMB, total, faulty, len(cores), endsForFault, acknowledged), nil
	}
	return broken("processes used more than %d MB and were killed %d times, on %d of %d core machines at least %d times each, %d of them while nothing was sent; %d changes were acknowledged",
		coreMemoryMB, total, faulty, len(cores), endsForFault, sum(after), acknowledged), nil
}

// changeTimeouts changes the time-outs of all routes again and again. It returns the number of
// changes that were acknowledged. It ends with the first one that isn't.
func changeTimeouts(ctx context.Context, o *operator, cores []*node, routes int) int {
	acknowledged := 0
	for began := time.Now(); acknowledged < manyChanges && time.Since(began) < changesTime; acknowledged++ {
		version := acknowledged + 1
		if _, err := o.replace(ctx, cores, timeoutsConfiguration(version, routes), acknowledged, changeLimit); err != nil {
			o.record.add("change %d: %v", version, err)
			break
		}
	}
	return acknowledged
}

// limitMemory kills the process of a machine whenever it uses more than its limit of memory, and
// starts the next one.
func limitMemory(ctx context.Context, n *node, ends chan<- *node) {
	for sleep(ctx, memoryInterval) == nil {
		used, err := n.memoryMB()
		if err != nil || used <= coreMemoryMB {
			continue
		}
		n.kill()
		n.site.record.add("%s used %d MB of %d and is killed", n.name, used, coreMemoryMB)
		ends <- n
		if sleep(ctx, restartDelay) != nil {
			return
		}
		if err := n.start(false); err != nil {
			n.site.record.add("%s doesn't start: %v", n.name, err)
			return
		}
	}
}

var anonymousMemory = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// memoryMB returns the memory that the process of the node uses, without the pages of files, in
// units of 1,048,576 bytes.
func (n *node) memoryMB() (int, error) {
	n.mu.Lock()
	pid := n.command.Process.Pid
	n.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	found := anonymousMemory.FindSubmatch(status)
	if found == nil {
		return 0, fmt.Errorf("process %d states no memory", pid)
	}
	kilobytes, err := strconv.Atoi(string(found[1]))
	return kilobytes / 1024, err
}

// countEnds takes the ends so far and counts them by machine.
func countEnds(ends <-chan *node) map[string]int {
	counts := map[string]int{}
	for {
		select {
		case n := <-ends:
			counts[n.name]++
		default:
			return counts
		}
	}
}

func sum(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
