package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	// grownRoutes is the number of routes of a site that has grown by many routes.
	grownRoutes = 1500
	// grownChanges is the number of changes before the first loss. Each changes the time-outs
	// of all routes.
	grownChanges = 200
	// downFor is the time for which a machine that loses its disk is down.
	downFor = 1500 * time.Millisecond
)

// playGrownLog changes a configuration some hundred times. Then two of five core machines lose
// their disks and come back. CatchUp later, when they no longer count as lost, two others lose
// theirs. The newest acknowledged configuration has to be readable after that.
func playGrownLog(ctx context.Context, s *site, hasTrouble bool) (verdict, error) {
	cores, err := s.startCores(coreMachines)
	if err != nil {
		return verdict{}, err
	}
	o := newOperator(s.record)
	for version := 1; version <= grownChanges; version++ {
		if _, err := o.replace(ctx, cores, timeoutsConfiguration(version, grownRoutes), version-1, 20*time.Second); err != nil {
			return verdict{}, err
		}
	}
	// All machines are in touch from now on.
	if err := sleep(ctx, catchUp); err != nil {
		return verdict{}, err
	}
	s.record.add("bytes on the disks of the core machines: %v", diskBytes(cores))
	if hasTrouble {
		leader := o.leader(ctx, cores)
		if leader == nil {
			return verdict{}, fmt.Errorf("no leader is known")
		}
		followers := slices.DeleteFunc(slices.Clone(cores), func(n *node) bool { return n == leader })
		for _, lost := range [][]*node{followers[:2], followers[2:]} {
			if err := loseDisks(ctx, s, cores, lost); err != nil {
				return verdict{}, err
			}
		}
	}
	return readBack(ctx, s, o, cores, grownChanges)
}

// timeoutsConfiguration returns a configuration with a number of routes that differs from that of the version before in
// the time-outs of all routes.
func timeoutsConfiguration(version, routes int) *configuration {
	c := newConfiguration(version, "katalog", "lager")
	for i := range routes {
		c.Routes[fmt.Sprintf("r-%04d", i)] = routeDocument{
			Host: "shop.example", PathPrefix: fmt.Sprintf("/route-%04d/", i), Kind: "safe",
			Timeout: fmt.Sprintf("%dms", 800+version), TargetLatency: "300ms", Priority: 2, Service: "katalog", MaxAttempts: 2,
		}
	}
	return c
}

// loseDisks ends machines, which come back with empty disks, and waits CatchUp after that.
func loseDisks(ctx context.Context, s *site, cores, lost []*node) error {
	for _, n := range lost {
		n.kill()
		if err := os.RemoveAll(filepath.Join(n.folder, "data")); err != nil {
			return err
		}
		s.record.add("%s is down and loses its disk", n.name)
	}
	if err := sleep(ctx, downFor); err != nil {
		return err
	}
	for _, n := range lost {
		if err := n.start(false); err != nil {
			return err
		}
	}
	if err := sleep(ctx, catchUp+settleMargin); err != nil {
		return err
	}
	s.record.add("bytes on the disks of the core machines: %v", diskBytes(cores))
	return nil
}

// diskBytes returns the sizes of the data folders.
func diskBytes(cores []*node) map[string]int64 {
	sizes := map[string]int64{}
	for _, n := range cores {
		entries, err := os.ReadDir(filepath.Join(n.folder, "data"))
		if err != nil {
			continue
		}
		for _, e := range entries {
			if info, err := e.Info(); err == nil {
				sizes[n.name] += info.Size()
			}
		}
	}
	return sizes
}

func init() { cases["grown-log"] = playGrownLog }
