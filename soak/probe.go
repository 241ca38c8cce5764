package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// probePause is the time between two probes of a proxy.
	probePause = 150 * time.Millisecond
	// probeAnswerBytes bounds what is read of an answer.
	probeAnswerBytes = 4 << 10
)

// probe asks a proxy for the route of the newest generation, and again for the
// newest one that the same process served: it may not lack that any more.
func (r *runner) probe(ctx context.Context, p *Process) {
	client := &http.Client{Timeout: 2 * routeTimeout}
	defer client.CloseIdleConnections()
	var served uint64
	process := 0
	for sleep(ctx, probePause) {
		if now := p.Incarnation(); now != process {
			process, served = now, 0
			continue
		}
		newest := r.operator.newest()
		if status, _ := ask(ctx, client, p, newest); status == http.StatusOK {
			served = max(served, newest)
			r.countProbe()
		}
		if served == 0 || served == newest || served+keptRoutes/2 < newest {
			continue
		}
		status, text := ask(ctx, client, p, served)
		if status == http.StatusNotFound && p.Incarnation() == process {
			r.find("%s served generation %d and later lacked it: %s", p.ID, served, text)
		}
	}
}

func (r *runner) countProbe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Probes++
}

// ask asks a proxy for the route of a generation. The status is 0 where no
// answer came.
func ask(ctx context.Context, client *http.Client, p *Process, generation uint64) (status int, text string) {
	url := fmt.Sprintf("http://%s%sprobe", p.Callers, generationPath(generation))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, err.Error()
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, probeAnswerBytes))
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}
