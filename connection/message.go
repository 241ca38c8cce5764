package connection

import "sync"

// AwaitMessage records that the connection waits for a message between processes, and that the one
// before it has been handled.
func (c *Conn) AwaitMessage() {
	now := c.group.table.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setMessage(0)
	if c.stage == StageServing {
		c.setStage(now, StageIdle)
	}
}

// ReceiveMessage records how much memory the received part of a message takes. The error is
// ErrLimit.
func (c *Conn) ReceiveMessage(bytes int64) error {
	now := c.group.table.now()
	c.mu.Lock()
	if c.stage != StageHead {
		c.setStage(now, StageHead)
		c.began = now
	}
	c.setMessage(bytes)
	c.mu.Unlock()
	return c.checkMessage(bytes)
}

// HandleMessage records that a message has arrived and how much memory it takes until the next
// call of AwaitMessage. The error is ErrLimit.
func (c *Conn) HandleMessage(bytes int64) error {
	now := c.group.table.now()
	c.mu.Lock()
	c.setMessage(bytes)
	c.mu.Unlock()
	// The connection may still be closed if this message is the one that is too much.
	err := c.checkMessage(bytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setStage(now, StageServing)
	return err
}

// Keep records how much memory the process keeps for the connection until it is closed, in place
// of what it recorded before. The error is ErrLimit or ErrTooLarge.
func (c *Conn) Keep(bytes int64) error {
	if bytes > int64(keptShare*float64(c.group.table.memoryLimit())) {
		return ErrTooLarge
	}
	c.mu.Lock()
	if !c.isReleased {
		c.hold(bytes - c.kept)
		c.kept = bytes
	}
	c.mu.Unlock()
	return c.checkMessage(bytes)
}

// keptShare is the largest fraction of the memory of a listener that is kept for one connection.
const keptShare = 1.0 / 16

// setMessage changes what the message holds. The caller holds the mutex.
func (c *Conn) setMessage(bytes int64) {
	if c.isReleased {
		return
	}
	c.hold(bytes - c.message)
	c.message = bytes
}

// smallMessage is the size up to which a message is accepted although no memory is left that
// can be freed. connectionBytes covers it.
const smallMessage = 12 << 10

func (c *Conn) checkMessage(bytes int64) error {
	if bytes <= smallMessage {
		return nil
	}
	if !c.settle() {
		return ErrLimit
	}
	c.awaitRelease()
	if c.hasBeenEvicted() {
		return ErrLimit
	}
	return nil
}

// Retain draws bytes from the budget until the returned function is called. The error is
// ErrLimit or ErrTooLarge.
func (c *Conn) Retain(bytes int64) (release func(), err error) {
	if bytes > c.group.table.memoryLimit() {
		return nil, ErrTooLarge
	}
	c.retain(bytes)
	if !c.settle() {
		c.retain(-bytes)
		// What could not be retained is given up by the caller.
		c.group.table.AddGarbage(bytes)
		return nil, ErrLimit
	}
	return sync.OnceFunc(func() { c.retain(-bytes) }), nil
}

func (c *Conn) retain(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retained += bytes
	c.hold(bytes)
}
