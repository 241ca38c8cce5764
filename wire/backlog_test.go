package wire

import (
	"context"
	"net"
	"testing"
	"time"
)

// TestBacklog guards against an end of a session that counts messages as not received
// because they are incomplete, being handled or unread.
func TestBacklog(t *testing.T) {
	t.Parallel()
	near, far := openConnection(t)
	handling, proceed := make(chan struct{}), make(chan struct{})
	mux := NewMux()
	Handle(mux, "wait", func(context.Context, *Peer, struct{}) (any, error) {
		close(handling)
		<-proceed
		return nil, nil
	})
	peer := NewPeer(t.Context(), far, mux)
	const message = `{"jsonrpc":"2.0","method":"wait","params":{}}`
	frame := append([]byte{byte(len(message))}, message...)
	write := func(b []byte) {
		if _, err := near.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	write(frame[:10])
	await(t, "part of a message", func() bool { return peer.Unhandled() == 10 && !peer.HasBacklog() })
	write(frame[10:])
	<-handling
	if peer.Unhandled() != uint64(len(frame)) || !peer.HasBacklog() {
		t.Errorf("while a message is handled: %d bytes unhandled, backlog %t", peer.Unhandled(), peer.HasBacklog())
	}
	write(frame[:1])
	close(proceed)
	await(t, "the message is handled", func() bool { return peer.Unhandled() == 1 && !peer.HasBacklog() })
}

// TestUnreadBytesAreBacklog guards against a process that takes the other end for silent
// although bytes wait in the kernel.
func TestUnreadBytesAreBacklog(t *testing.T) {
	t.Parallel()
	near, far := openConnection(t)
	c := newTimedConn(far)
	if c.hasBacklog() {
		t.Error("backlog before the first byte")
	}
	if _, err := near.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	await(t, "an unread byte", c.hasBacklog)
}

// openConnection returns both ends of a TCP connection.
func openConnection(t *testing.T) (near, far net.Conn) {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var dialer net.Dialer
	near, err = dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 5 s", what)
		}
	}
}

// TestLongWriteIsNotEnded guards against a connection that is ended because a message takes
// longer than the write timeout although the other end reads all the time.
func TestLongWriteIsNotEnded(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	c := newTimedConn(near)
	message := make([]byte, 4*writeChunkBytes)
	const reads = 40
	pause := writeTimeout * 6 / 5 / reads
	go func() {
		part := make([]byte, len(message)/reads)
		for {
			time.Sleep(pause)
			if _, err := far.Read(part); err != nil {
				return
			}
		}
	}()
	if n, err := c.Write(message); err != nil || n != len(message) {
		t.Errorf("%d of %d bytes written, error %v", n, len(message), err)
	}
	_ = near.Close()
}
