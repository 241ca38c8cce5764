package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// longest bounds a scenario.
const longest = 115 * time.Second

// scenarios are the scripted cases by name; the file of each adds it. With trouble false, a
// scenario does the same without the disruption.
var scenarios = map[string]func(record *recorder, program string, trouble bool) error{}

func main() {
	// A process that is started ends with the thread that started it, which is this one.
	runtime.LockOSThread()
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive SCENARIO PROGRAM RECORD")
		os.Exit(2)
	}
	record, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go endLate(record)
	err = scenarios[os.Args[1]](record, os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		record.printf("result  the rule held")
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		record.printf("result  %v", err)
		fmt.Println(err)
		os.Exit(1)
	default:
		record.printf("result  the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}

// endLate ends all processes after the longest time or at a signal.
func endLate(record *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	record.printf("result  the case could not run: it was ended")
	if c := current.Load(); c != nil {
		c.close()
	}
	os.Exit(2)
}
