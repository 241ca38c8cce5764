package hornbeamwell

import "testing"

// TestParseLoadStatement guards against a damaged header that is read as a load.
func TestParseLoadStatement(t *testing.T) {
	for text, want := range map[string]LoadStatement{
		"3,1,12":          {IsStated: true, Running: 3, Waiting: 1, Slots: 12},
		" 3, 1, 12 , 250": {IsStated: true, Running: 3, Waiting: 1, Slots: 12, Pace: 2.5},
		"0,0,0,62.5":      {IsStated: true, Pace: 0.625},
	} {
		if got, valid := ParseLoadStatement(text); !valid || got != want {
			t.Errorf("ParseLoadStatement(%q) = %+v, %v, want %+v", text, got, valid, want)
		}
	}
	for _, text := range []string{"", "3", "3,1", "3,1,", "3,1,12,", "3,1,12,100,1", "-1,0,12", "3,1,12,0", "3,1,12,NaN", "3,1,12,1e999", "3;1;12", "99999999999,0,1"} {
		if got, valid := ParseLoadStatement(text); valid || got != (LoadStatement{}) {
			t.Errorf("ParseLoadStatement(%q) = %+v, %v, want it refused", text, got, valid)
		}
	}
}
