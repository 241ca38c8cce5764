package instance

import (
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"runtime"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/hornbeamwell/hornbeamwell/connection"
)

// requestMemory draws the memory of requests to the operator API, and of their responses, from
// the budget for clients.
type requestMemory struct {
	connections *connection.Table
	// decoded holds the *drawnMemory of each request between its decoding and its call, by the
	// address of the request.
	decoded sync.Map
}

func newRequestMemory(connections *connection.Table) *requestMemory {
	return &requestMemory{connections: connections}
}

// heldKey is the context key of the heldMemory of a request.
type heldKey struct{}

// heldMemory is what a request has drawn until its response is sent. One goroutine uses it.
type heldMemory struct{ releases []func() }

func (h *heldMemory) release() {
	for _, release := range h.releases {
		release()
	}
}

// drawnMemory is what a decoded request has drawn.
type drawnMemory struct{ release func() }

// addDecoded records what a request has drawn. A request that never gets to its call, such as
// the first of two messages where only one is allowed, releases it once it is collected.
func (m *requestMemory) addDecoded(message proto.Message, release func()) {
	address := reflect.ValueOf(message).Pointer()
	drawn := &drawnMemory{release}
	m.decoded.Store(address, drawn)
	runtime.SetFinalizer(message, func(proto.Message) {
		m.decoded.CompareAndDelete(address, drawn)
		drawn.release()
	})
}

// takeDecoded returns the release function of a request, nil if it has drawn nothing.
func (m *requestMemory) takeDecoded(request connect.AnyRequest) func() {
	drawn, found := m.decoded.LoadAndDelete(reflect.ValueOf(request.Any()).Pointer())
	if !found {
		return nil
	}
	return drawn.(*drawnMemory).release
}

// handler returns a handler that releases the memory of each request once next has sent the
// response.
func (m *requestMemory) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := &heldMemory{}
		defer held.release()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), heldKey{}, held)))
	})
}

// options returns the options of the handler of the API.
func (m *requestMemory) options() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCodec(requestCodec{
			memory: m, name: "proto", estimate: messageBytes,
			marshal: proto.Marshal, unmarshal: proto.Unmarshal,
		}),
		connect.WithCodec(requestCodec{
			memory: m, name: "json",
			estimate:  func(data []byte, _ protoreflect.MessageDescriptor) int64 { return connection.DocumentBytes(data) },
			marshal:   protojson.Marshal,
			unmarshal: protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal,
		}),
		connect.WithCompression("gzip", m.newDecompressor, func() connect.Compressor { return gzip.NewWriter(io.Discard) }),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(m.intercept)),
	}
}

// responseFactor is the memory for each byte of a response: the message, its encoding, and the
// room to grow of a buffer.
const responseFactor = 5

// smallResponse is the size up to which a response draws nothing. Only calls that change nothing
// have larger ones, so a refusal for lack of memory is true.
const smallResponse = 64 << 10

// intercept releases the memory of the request after its call, and draws that of the response.
func (m *requestMemory) intercept(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		held, isHeld := ctx.Value(heldKey{}).(*heldMemory)
		if release := m.takeDecoded(request); release != nil && isHeld {
			held.releases = append(held.releases, release)
		}
		response, err := next(ctx, request)
		if err != nil || !isHeld {
			return response, err
		}
		message, isMessage := response.Any().(proto.Message)
		if !isMessage || proto.Size(message) < smallResponse {
			return response, nil
		}
		release, err := m.connections.Retain(responseFactor * int64(proto.Size(message)))
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("send response: %w", err))
		}
		held.releases = append(held.releases, release)
		return response, nil
	}
}

// requestCodec is a codec of connect that draws the memory of a request before decoding it.
type requestCodec struct {
	memory    *requestMemory
	name      string
	estimate  func(data []byte, d protoreflect.MessageDescriptor) int64
	marshal   func(proto.Message) ([]byte, error)
	unmarshal func([]byte, proto.Message) error
}

var errNoMessage = errors.New("value is not a protobuf message")

// Name implements connect.Codec.
func (c requestCodec) Name() string { return c.name }

// Marshal implements connect.Codec.
func (c requestCodec) Marshal(value any) ([]byte, error) {
	message, ok := value.(proto.Message)
	if !ok {
		return nil, errNoMessage
	}
	return c.marshal(message)
}

// Unmarshal implements connect.Codec.
func (c requestCodec) Unmarshal(data []byte, value any) error {
	message, ok := value.(proto.Message)
	if !ok {
		return errNoMessage
	}
	release, err := c.memory.connections.Retain(c.estimate(data, message.ProtoReflect().Descriptor()))
	if err != nil {
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	if err := c.unmarshal(data, message); err != nil {
		release()
		return fmt.Errorf("decode %s: %w", message.ProtoReflect().Descriptor().Name(), err)
	}
	c.memory.addDecoded(message, release)
	return nil
}

// Estimates of the memory of a decoded message, which handlers map to types of their own.
const (
	decodedMessageBytes = 768
	decodedFieldBytes   = 64
	decodedByteFactor   = 3
	// maxMessageDepth is the depth up to which messages are looked into.
	maxMessageDepth = 16
)

// messageBytes estimates the memory that an encoded message takes once it is decoded. An empty
// message in a list takes two bytes on the wire.
func messageBytes(data []byte, d protoreflect.MessageDescriptor) int64 {
	return decodedByteFactor*int64(len(data)) + structureBytes(data, d, 0)
}

func structureBytes(data []byte, d protoreflect.MessageDescriptor, depth int) int64 {
	total := int64(decodedMessageBytes)
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return total
		}
		data = data[n:]
		if n = protowire.ConsumeFieldValue(number, kind, data); n < 0 {
			return total
		}
		total += decodedFieldBytes
		field := d.Fields().ByNumber(number)
		if kind == protowire.BytesType && field != nil && field.Message() != nil && depth < maxMessageDepth {
			inner, _ := protowire.ConsumeBytes(data)
			total += structureBytes(inner, field.Message(), depth+1)
		}
		data = data[n:]
	}
	return total
}

// decompressor draws the memory of what it returns until it is closed or reset.
type decompressor struct {
	gzip.Reader
	memory   *requestMemory
	releases []func()
	// left is the part of the bytes drawn last that has not been returned.
	left int
}

// decompressedStep is the number of bytes for which a decompressor draws memory at once.
const decompressedStep = 256 << 10

// decompressedFactor is the memory for each byte that a message expands to: a buffer, the one
// before it while it grows, and the room to grow.
const decompressedFactor = 5

func (m *requestMemory) newDecompressor() connect.Decompressor { return &decompressor{memory: m} }

// Read implements io.Reader.
func (d *decompressor) Read(p []byte) (int, error) {
	if d.left == 0 {
		release, err := d.memory.connections.Retain(decompressedFactor * decompressedStep)
		if err != nil {
			return 0, connect.NewError(connect.CodeResourceExhausted, err)
		}
		d.releases, d.left = append(d.releases, release), decompressedStep
	}
	n, err := d.Reader.Read(p[:min(len(p), d.left)])
	d.left -= n
	return n, err
}

// Close implements connect.Decompressor.
func (d *decompressor) Close() error {
	d.release()
	return d.Reader.Close()
}

// Reset implements connect.Decompressor.
func (d *decompressor) Reset(r io.Reader) error {
	d.release()
	return d.Reader.Reset(r)
}

func (d *decompressor) release() {
	for _, release := range d.releases {
		release()
	}
	d.memory.connections.AddGarbage(decompressedFactor * decompressedStep * int64(len(d.releases)))
	d.releases, d.left = nil, 0
}
