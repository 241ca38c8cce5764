package route

import (
	"testing"
	"time"
)

func TestBreakerOpensOnAFailingCanary(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &Breaker{}
	b.SetStep(1)
	for range 100 {
		b.Report(now, "r", false, false)
	}
	for range breakerLowRateFailures {
		b.Report(now, "r", true, true)
	}
	if !b.IsOpen() {
		t.Fatal("the breaker is closed although only the canary fails")
	}
	b.SetStep(1)
	if !b.IsOpen() {
		t.Fatal("the same step closed the breaker")
	}
	b.SetStep(2)
	for range 100 {
		b.Report(now, "healthy", false, false)
		b.Report(now, "healthy", true, false)
		b.Report(now, "bad", false, false)
	}
	for range breakerHighRateFailures {
		b.Report(now, "bad", true, false)
		b.Report(now, "bad", true, true)
	}
	if !b.IsOpen() {
		t.Fatal("the breaker is closed although the canary fails on one route")
	}
	b.SetStep(3)
	if b.IsOpen() {
		t.Fatal("a later step did not close the breaker")
	}
	for range 50 {
		b.Report(now, "r", false, true)
		b.Report(now, "r", true, true)
	}
	if b.IsOpen() {
		t.Fatal("the breaker opened although both versions fail")
	}
}
