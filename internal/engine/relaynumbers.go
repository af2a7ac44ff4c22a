package engine

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
)

// transactionNumbers gives the open transactions of other daemons their numbers. They are drawn at random, so that the
// number of one connection or process names nothing in another. Its methods may be called concurrently.
type transactionNumbers struct {
	mu    sync.Mutex
	inUse map[uint64]struct{}
	// draw returns 64 random bits; nil for those of the operating system.
	draw func() uint64
}

// take returns a number that is neither 0 nor in use, and marks it as in use.
func (n *transactionNumbers) take() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inUse == nil {
		n.inUse = make(map[uint64]struct{})
	}
	for {
		number := n.random()
		if _, taken := n.inUse[number]; number != 0 && !taken {
			n.inUse[number] = struct{}{}
			return number
		}
	}
}

// random draws a number.
func (n *transactionNumbers) random() uint64 {
	if n.draw != nil {
		return n.draw()
	}
	var bits [8]byte
	_, _ = rand.Read(bits[:]) // It never fails: the process ends if the operating system gives no random bits.
	return binary.LittleEndian.Uint64(bits[:])
}

// free marks a number as no longer in use.
func (n *transactionNumbers) free(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.inUse, number)
}
