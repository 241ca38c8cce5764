package logline

import (
	"bytes"
	stdlog "log"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

const (
	// maxLibraryLines bounds the lines per second that libraries write.
	maxLibraryLines = 10
	// maxLibraryBytes bounds the text of one line. net/http quotes what it received
	// on a connection, which may be any bytes.
	maxLibraryBytes = 200
)

// LibraryWriter is the output of the standard logger, to which libraries such as
// net/http write. It turns each message into a line of the process's log. The length
// and the rate of the lines are bounded.
type LibraryWriter struct {
	logger  log.Logger
	limiter *rate.Limiter
}

// NewLibraryWriter returns a LibraryWriter that writes to the logger.
func NewLibraryWriter(logger log.Logger) *LibraryWriter {
	return &LibraryWriter{logger: logger, limiter: rate.NewLimiter(maxLibraryLines, maxLibraryLines)}
}

// Write implements io.Writer. It never returns an error.
func (w *LibraryWriter) Write(message []byte) (int, error) {
	if !w.limiter.Allow() {
		linesDropped.Inc()
		return len(message), nil
	}
	text := bytes.TrimSpace(message)
	_ = w.logger.Log("event", "library_message", "msg", string(text[:min(len(text), maxLibraryBytes)]), "bytes", len(text))
	return len(message), nil
}

// RedirectLibraries makes the standard logger, and so the libraries that use it, write
// to the logger by a LibraryWriter.
func RedirectLibraries(logger log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(NewLibraryWriter(logger))
}
