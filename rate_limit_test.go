package hornbeamwell

import "testing"

func TestParseRateLimit(t *testing.T) {
	for text, want := range map[string]RateLimit{
		"26.7": {IsLimited: true, PerSecond: 26.7},
		" 0 ":  {IsLimited: true},
		"1e3":  {IsLimited: true, PerSecond: 1000},
	} {
		if got, valid := ParseRateLimit(text); !valid || got != want {
			t.Errorf("ParseRateLimit(%q) = %v, %v, want %v", text, got, valid, want)
		}
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "1e999", "ten", "3,5", "26.7/s"} {
		if got, valid := ParseRateLimit(text); valid || got != (RateLimit{}) {
			t.Errorf("ParseRateLimit(%q) = %v, %v, want it refused", text, got, valid)
		}
	}
}

func TestRateLimitString(t *testing.T) {
	if got := (RateLimit{}).String(); got != "none" {
		t.Errorf("no limit is written as %q", got)
	}
	if got := (RateLimit{IsLimited: true, PerSecond: 26.7}).String(); got != "26.7" {
		t.Errorf("a limit of 26.7 is written as %q", got)
	}
}
