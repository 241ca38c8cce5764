package connection

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// orderCase is a case of testdata/order.txt.
type orderCase struct {
	title      string
	isMemory   bool
	candidates []candidate
	// names are the names by connection, want those of the connections to close, in order.
	names map[*Conn]string
	want  []string
}

const testNow = 100 * time.Second

// TestOrder guards against closing a connection whose request is served, or one of an
// ordinary client before those that are idle, unfinished or large.
func TestOrder(t *testing.T) {
	t.Parallel()
	for _, c := range readOrder(t) {
		// The order must not depend on that of the candidates.
		for range len(c.candidates) {
			c.candidates = append(c.candidates[1:], c.candidates[0])
			chosen := chooseForRoom(testNow, c.candidates, len(c.candidates))
			if c.isMemory {
				chosen = chooseForMemory(testNow, c.candidates, 1<<40)
			}
			got := make([]string, 0, len(chosen))
			for _, conn := range chosen {
				got = append(got, c.names[conn])
			}
			if strings.Join(got, " ") != strings.Join(c.want, " ") {
				t.Errorf("%s: closed %v, want %v", c.title, got, c.want)
				break
			}
		}
	}
}

// TestChooseForMemoryFreesTheExcess guards against closing more than is needed.
func TestChooseForMemoryFreesTheExcess(t *testing.T) {
	t.Parallel()
	for _, c := range readOrder(t) {
		if !c.isMemory {
			continue
		}
		if got := chooseForMemory(testNow, c.candidates, 1); len(got) != 1 || c.names[got[0]] != c.want[0] {
			t.Errorf("%s: closed %d connections for one byte", c.title, len(got))
		}
		if got := chooseForMemory(testNow, c.candidates, 0); len(got) != 0 {
			t.Errorf("%s: closed %d connections for nothing", c.title, len(got))
		}
	}
}

func readOrder(t *testing.T) []*orderCase {
	t.Helper()
	file, err := os.Open("testdata/order.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var cases []*orderCase
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := lines.Text()
		if title, isCase := strings.CutPrefix(line, "case "); isCase {
			cases = append(cases, &orderCase{title: title, isMemory: strings.HasPrefix(title, "memory:"), names: map[*Conn]string{}})
			continue
		}
		if fields := strings.Fields(line); len(fields) > 0 && fields[0] != "#" && !strings.HasPrefix(line, "#") {
			cases[len(cases)-1].add(t, fields)
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return cases
}

func (c *orderCase) add(t *testing.T, fields []string) {
	t.Helper()
	isKept := fields[0] == "kept"
	if isKept {
		fields = fields[1:]
	}
	number := func(text string) int64 {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	ago := func(text string) time.Duration { return testNow - time.Duration(number(text))*time.Millisecond }
	s := snapshot{
		protocol: map[string]Protocol{"http": HTTP, "messages": Messages}[fields[1]],
		stage:    map[string]Stage{"head": StageHead, "body": StageBody, "serving": StageServing, "idle": StageIdle}[fields[2]],
		since:    ago(fields[3]), began: ago(fields[4]), held: number(fields[5]) << 10,
	}
	for i, field := range fields[6:] {
		switch field {
		case "writing":
			s.writingSince = ago(fields[7+i])
		case "http2":
			s.isMultiplexed = true
		}
	}
	conn := &Conn{}
	c.names[conn] = fields[0]
	c.candidates = append(c.candidates, candidate{s, conn})
	if !isKept {
		c.want = append(c.want, fields[0])
	}
}
