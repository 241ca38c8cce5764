package catalog

import (
	"math"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestWeightsDoNotOverflow checks splits whose weights are too large. Their sum would
// overflow, and the proxies would send all calls to the first service.
func TestWeightsDoNotOverflow(t *testing.T) {
	for weight, isValid := range map[int]bool{1: true, MaxWeight: true, -1: false, 1 << 62: false, math.MaxInt64: false} {
		wanted := Resources{
			Services: []hornbeamwell.Service{{Name: "a", IsOpen: true}, {Name: "b", IsOpen: true}},
			Routes: []hornbeamwell.Route{{
				Name: "r", PathPrefix: "/", Service: "a", Class: hornbeamwell.ClassInteractive, Timeout: time.Second, MaxBodyBytes: 1, MaxAttempts: 1,
				Split: []hornbeamwell.WeightedService{{Service: "a", Weight: weight}, {Service: "b", Weight: weight}},
			}},
		}
		err := CheckApply(&hornbeamwell.Configuration{}, wanted)
		var invalid *hornbeamwell.InvalidError
		if isValid != (err == nil) || err != nil && !errors.As(err, &invalid) {
			t.Errorf("the weight %d yields %v", weight, err)
		}
	}
}
