package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestUnknownUnderChurn restarts proxies while new keys arrive. It limits the
// fraction of keys whose outcome is unknown, and logs the fraction that would be
// unknown if owners had no witness.
func TestUnknownUnderChurn(t *testing.T) {
	for _, c := range []struct {
		name    string
		targets int
		// restart selects the proxies that restart every churnPeriod.
		restart func(random *rand.Rand, proxies []*fakeProxy) []*fakeProxy
		// maxUnknown is the highest accepted fraction of unknown keys.
		maxUnknown float64
	}{
		{"one proxy of 3", 3, oneProxy, 0},
		{"one proxy of 12", 12, oneProxy, 0},
		{"a zone of 12 proxies", 12, oneZone, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			f := newFakeService(c.targets, 3)
			keys, unknown, ownerUnknown := 0, 0, 0
			nextRestart := f.now
			for range 2_000 {
				f.now = f.now.Add(time.Second)
				if !f.now.Before(nextRestart) {
					nextRestart = f.now.Add(churnPeriod)
					for _, p := range c.restart(random, f.proxies) {
						f.restart(p)
					}
				}
				keys++
				key := fmt.Sprint("key", keys)
				owner := f.proxies[0]
				for _, p := range f.proxies {
					if HashWeight(key, p.target.ID) > HashWeight(key, owner.target.ID) {
						owner = p
					}
				}
				if f.now.Sub(owner.recordsSince) < RecordLifetime {
					ownerUnknown++
				}
				if f.send(owner, key, func() bool { return true }, "answered") == ClaimUnprovable {
					unknown++
				}
			}
			ratio := float64(unknown) / float64(keys)
			t.Logf("unknown: %.4f with a witness, %.4f without", ratio, float64(ownerUnknown)/float64(keys))
			if ratio > c.maxUnknown {
				t.Errorf("the fraction of unknown keys is %.4f, want at most %.4f", ratio, c.maxUnknown)
			}
		})
	}
}

// churnPeriod is the time between two restarts. It is longer than
// RecordLifetime.
const churnPeriod = RecordLifetime + 30*time.Second

func oneProxy(random *rand.Rand, proxies []*fakeProxy) []*fakeProxy {
	return []*fakeProxy{proxies[random.IntN(len(proxies))]}
}

func oneZone(random *rand.Rand, proxies []*fakeProxy) []*fakeProxy {
	zone := proxies[random.IntN(len(proxies))].target.Zone
	var found []*fakeProxy
	for _, p := range proxies {
		if p.target.Zone == zone {
			found = append(found, p)
		}
	}
	return found
}
