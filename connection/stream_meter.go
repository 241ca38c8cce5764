package connection

import "encoding/binary"

// The frames of HTTP/2 that make a server hold something (RFC 9113, section 6).
const (
	frameData         = 0
	frameHeaders      = 1
	frameReset        = 3
	frameSettings     = 4
	framePing         = 6
	frameContinuation = 9
	frameHeaderBytes  = 9

	flagEndStream = 1
	flagAck       = 1
)

const (
	// multiplexedBytes is for the buffers and the tables of a connection of HTTP/2, and for
	// its goroutines.
	multiplexedBytes = 32 << 10
	// blockByteFactor is the memory for each byte of a header block that is not served yet.
	// A field of four bytes takes fieldBytes once it is parsed.
	blockByteFactor = 24
	// replyBytes is for a reply that waits to be sent, such as to a ping. The smallest one
	// has minReplyFrame bytes on the wire.
	replyBytes    = 256
	minReplyFrame = frameHeaderBytes
	// maxStreamsWaiting is the number of requests that a server keeps besides those that it
	// serves, although the client has reset them.
	maxStreamsWaiting = 4 * MaxStreams
)

// Limits of a connection of HTTP/2, which its server must have.
const (
	// MaxStreams is the number of concurrent streams.
	MaxStreams = 250
	// ConnectionWindow bounds the received bytes of bodies that handlers have not read.
	ConnectionWindow = 1 << 20
	// FrameBytes is the size of the largest frame.
	FrameBytes = 16 << 10
)

// frameScanner finds the frames in the bytes of one direction of a connection.
type frameScanner struct {
	// header is the part of a frame header that has been seen, size its length.
	header [frameHeaderBytes]byte
	size   int
	// payload is the number of bytes of the present frame that have not been seen.
	payload int
}

// frame is the header of a frame.
type frame struct {
	kind, flags byte
	stream      uint32
}

// next scans bytes up to the end of a frame header, or of a part of a payload, and returns the
// rest. The frame is that of the part. isHeader is true at the end of a header, and part is the
// length of the part of a payload.
func (f *frameScanner) next(b []byte) (found frame, isHeader bool, part int, rest []byte) {
	if f.payload > 0 {
		part = min(f.payload, len(b))
		f.payload -= part
		return f.frame(), false, part, b[part:]
	}
	if f.size == frameHeaderBytes {
		f.size = 0
	}
	n := copy(f.header[f.size:], b)
	f.size += n
	if f.size < frameHeaderBytes {
		return frame{}, false, 0, b[n:]
	}
	f.payload = int(binary.BigEndian.Uint32(f.header[:]) >> 8)
	return f.frame(), true, 0, b[n:]
}

func (f *frameScanner) frame() frame {
	const reservedBit = 1 << 31
	return frame{kind: f.header[3], flags: f.header[4], stream: binary.BigEndian.Uint32(f.header[5:]) &^ reservedBit}
}

// streamMeter estimates what the received frames of a connection of HTTP/2 make the process
// hold.
type streamMeter struct {
	received, sent frameScanner
	// open holds the streams that the client has opened and that neither side has reset nor
	// the server ended. newest is the last stream that was opened.
	open   map[uint32]struct{}
	newest uint32
	// waiting is the number of requests whose handlers have not begun, and blocks the bytes of
	// their header blocks. serving is the number of the others.
	waiting, serving int
	blocks           int64
	// heads is the memory for the heads of the requests that are being served.
	heads int64
	// data is the number of bytes of bodies that handlers have not read. It includes those
	// of streams that have ended, until none is open.
	data int64
	// replies is the memory for replies to control frames that have not been sent.
	replies int64
}

func newStreamMeter() *streamMeter { return &streamMeter{open: make(map[uint32]struct{})} }

// bytes returns the estimate. A stream whose response has not been sent is held although its
// handler has ended, and one that the client has reset until its handler has.
func (s *streamMeter) bytes() int64 {
	streams := max(len(s.open), s.serving+min(s.waiting, maxStreamsWaiting))
	return multiplexedBytes + int64(streams)*streamBytes + blockByteFactor*s.blocks + s.heads + min(s.data, ConnectionWindow) + s.replies
}

// receive meters received bytes.
func (s *streamMeter) receive(b []byte) {
	for len(b) > 0 {
		var f frame
		var isHeader bool
		var part int
		f, isHeader, part, b = s.received.next(b)
		if isHeader {
			s.beginReceived(f)
			continue
		}
		switch f.kind {
		case frameData:
			s.data += int64(part)
		case frameHeaders, frameContinuation:
			s.blocks += int64(part)
		}
	}
}

func (s *streamMeter) beginReceived(f frame) {
	switch f.kind {
	case frameHeaders:
		s.replies += replyBytes
		if f.stream <= s.newest {
			// Trailers of a request.
			return
		}
		s.newest = f.stream
		s.waiting++
		s.open[f.stream] = struct{}{}
	case frameReset:
		s.close(f.stream)
	case frameSettings, framePing:
		if f.flags&flagAck == 0 {
			s.replies += replyBytes
		}
	}
}

// send meters sent bytes.
func (s *streamMeter) send(b []byte) {
	s.replies = max(s.replies-replyBytes*int64(len(b))/minReplyFrame, 0)
	for len(b) > 0 {
		var f frame
		var isHeader bool
		f, isHeader, _, b = s.sent.next(b)
		if !isHeader {
			continue
		}
		if _, isOpen := s.open[f.stream]; isOpen && f.kind == frameReset {
			// The server refuses a stream beyond MaxStreams, which is not served.
			s.waiting = max(s.waiting-1, 0)
		}
		if f.kind == frameReset || (f.kind == frameData || f.kind == frameHeaders) && f.flags&flagEndStream != 0 {
			s.close(f.stream)
		}
	}
}

func (s *streamMeter) close(stream uint32) {
	delete(s.open, stream)
	if len(s.open) == 0 && s.serving == 0 {
		s.data = 0
	}
}

// begin records that a request with a head begins to be served.
func (s *streamMeter) begin(head int64) {
	s.serving++
	s.heads += head
	if s.waiting > 0 {
		s.blocks -= s.blocks / int64(s.waiting)
		s.waiting--
	}
}

// end records that a request has ended. Once none is served, none waits either, also none of
// those that the client has reset.
func (s *streamMeter) end(head int64) {
	s.serving--
	s.heads -= head
	if s.serving > 0 {
		return
	}
	s.waiting, s.blocks = 0, 0
	if len(s.open) == 0 {
		s.data = 0
	}
}
