package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxFrameBytes is the size limit of one message.
const MaxFrameBytes = 64 << 20

// initialFrameBytes bounds the memory for a message of which nothing has arrived yet.
const initialFrameBytes = 64 << 10

// frameCodec encodes each message as an unsigned varint with its length,
// followed by its JSON. It implements jsonrpc2.ObjectCodec.
type frameCodec struct{ conn *timedConn }

// WriteObject implements jsonrpc2.ObjectCodec.
func (c frameCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(data) > MaxFrameBytes {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", len(data), MaxFrameBytes)
	}
	// Both the message and its frame are held until it is sent.
	release, err := c.conn.retain(2 * len(data))
	if err != nil {
		return fmt.Errorf("hold message: %w", err)
	}
	defer release()
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen64), uint64(len(data)))
	if _, err := stream.Write(append(frame, data...)); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c frameCodec) ReadObject(stream *bufio.Reader, v any) error {
	c.conn.beginMessage(stream.Buffered())
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > MaxFrameBytes {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", size, MaxFrameBytes)
	}
	data, err := c.receive(stream, int64(size))
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("read message: %w", err)
	}
	if err := c.conn.beginHandling(data); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return json.Unmarshal(data, v)
}

// receive reads a message of the given size.
func (c frameCodec) receive(stream io.Reader, size int64) ([]byte, error) {
	var data bytes.Buffer
	data.Grow(int(min(size, initialFrameBytes)) + bytes.MinRead)
	for remaining := size; remaining > 0; remaining = size - int64(data.Len()) {
		if _, err := io.CopyN(&data, stream, min(remaining, initialFrameBytes)); err != nil {
			return nil, err
		}
		// While the buffer grows, the one before it is held too.
		if err := c.conn.receivePart(int64(data.Cap()) + int64(data.Len())); err != nil {
			return nil, err
		}
	}
	return data.Bytes(), nil
}
