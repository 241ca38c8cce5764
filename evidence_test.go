package hornbeamwell

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestLatencyBucketBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latency := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "latency"))
		bucket := LatencyBucket(latency)
		if bucket == LatencyBuckets-1 {
			return
		}
		if latency >= LatencyBucketBound(bucket) {
			t.Fatalf("latency %v is not below the bound %v of its bucket %d", latency, LatencyBucketBound(bucket), bucket)
		}
		if bucket > 0 && latency < LatencyBucketBound(bucket-1) {
			t.Fatalf("latency %v is below the bound %v of bucket %d", latency, LatencyBucketBound(bucket-1), bucket-1)
		}
	})
}
