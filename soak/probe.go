package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// probePeriod is the time between two probes of a proxy.
	probePeriod = 150 * time.Millisecond
	// maxProbeResponseBytes bounds how much of a response is read.
	maxProbeResponseBytes = 4 << 10
)

// probeLoop periodically requests the route of the newest generation from a
// proxy, then the newest route that the same process has served before. A process
// must not lose a route that it served.
func (r *runner) probeLoop(ctx context.Context, p *Process) {
	client := &http.Client{Timeout: 2 * routeTimeout}
	defer client.CloseIdleConnections()
	var served uint64
	incarnation := 0
	for sleep(ctx, probePeriod) {
		if current := p.Incarnation(); current != incarnation {
			incarnation, served = current, 0
			continue
		}
		newest := r.operator.newestGeneration()
		if status, _ := getGeneration(ctx, client, p, newest); status == http.StatusOK {
			served = max(served, newest)
			r.countProbe()
		}
		// A route that may have been removed by now is not requested.
		if served == 0 || served == newest || served+keptRoutes/2 < newest {
			continue
		}
		status, text := getGeneration(ctx, client, p, served)
		if status == http.StatusNotFound && p.Incarnation() == incarnation {
			r.addFinding("%s served generation %d and later had no route for it: %s", p.ID, served, text)
		}
	}
}

func (r *runner) countProbe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Probes++
}

// getGeneration requests the route of a generation from a proxy. If no complete
// response arrived, the status is 0 and the text is the error.
func getGeneration(ctx context.Context, client *http.Client, p *Process, generation uint64) (status int, text string) {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProbeResponseBytes))
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}
