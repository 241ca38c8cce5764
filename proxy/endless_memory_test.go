package proxy

import (
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestResponsesWithoutEndAreNotKept guards against a proxy that keeps what a target in trouble
// sends without end, until it runs out of memory and the calls of other callers end with it.
// Each call may use the buffers of its connections; a body goes on as its caller reads it.
func TestResponsesWithoutEndAreNotKept(t *testing.T) {
	const (
		calls = 32
		// maxKept is what the proxy may keep for each call at both sides, with the garbage of
		// one cycle.
		maxKept = 2 << 20
		timeout = 700 * time.Millisecond
	)
	long := strings.Repeat("x", 64<<10)
	headers := strings.Repeat("X-Many: 1\r\n", 6000)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ beginning, piece string }{
		"no response":            {"", long},
		"no response in lines":   {"", headers},
		"status line":            {"HTTP/1.1 200 ", long},
		"header":                 {"HTTP/1.1 200 OK\r\nX-Long: ", long},
		"headers":                {"HTTP/1.1 200 OK\r\n", headers},
		"headers of HTTP/1.0":    {"HTTP/1.0 200 OK\r\n", headers},
		"folded header":          {"HTTP/1.1 200 OK\r\nX-Long: 1\r\n", strings.Repeat(" folded\r\n", 6000)},
		"interim responses":      {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 2000)},
		"long interim responses": {"", "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("Link: </style.css>\r\n", 100) + "\r\n"},
		"interim response":       {"HTTP/1.1 103 Early Hints\r\n", headers},
		"chunk size":             {chunked, strings.Repeat("0", 64<<10)},
		"chunk extension":        {chunked + "1;", long},
		"chunk extensions":       {chunked, strings.Repeat("1;"+long[:1000]+"\r\nx\r\n", 50)},
		"chunks":                 {chunked, "10000\r\n" + long + "\r\n"},
		"trailers":               {chunked + "0\r\n", headers},
		"trailer":                {chunked + "0\r\nX-Long: ", long},
		"body of no length":      {"HTTP/1.1 200 OK\r\n\r\n", long},
		"body of a failure":      {"HTTP/1.1 500 Failed\r\n\r\n", long},
		"body of a HEAD":         {"HTTP/1.1 204 No Content\r\n\r\n", long},
		"enormous length":        {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", long},
		"compressed":             {"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff", long},
		"upgrade":                {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", long},
	} {
		t.Run(name, func(t *testing.T) {
			target := newEndlessTarget(t, c.beginning, c.piece, 0)
			m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
			n := m.addAt("a", "v1", "north", calls, target.address)
			n.proxy.options.HeaderCodec = closeDelimitedCodec{}
			m.update()
			before := usedMemory()
			var sent sync.WaitGroup
			for range calls {
				sent.Go(func() {
					request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.entry+"/profiles/1", http.NoBody)
					if err != nil {
						t.Error(err)
						return
					}
					request.Header.Set(headerTimeout, formatDuration(timeout))
					_, _ = callAndDiscard(request)
				})
			}
			peak := uint64(0)
			for began := time.Now(); time.Since(began) < timeout; time.Sleep(50 * time.Millisecond) {
				peak = max(peak, usedMemory())
			}
			sent.Wait()
			t.Logf("%d kB for each call", (int64(peak)-int64(before))/calls>>10)
			if kept := int64(peak) - int64(before); kept > calls*maxKept {
				t.Errorf("%d MB are kept for %d calls", kept>>20, calls)
			}
			if got := call(t.Context(), http.MethodGet, n.entry+"/profiles/whole", "", ""); got.status != http.StatusOK {
				t.Errorf("the next call got status %d, error %v", got.status, got.err)
			}
		})
	}
}

// usedMemory returns the memory that is in use after a garbage collection.
func usedMemory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
