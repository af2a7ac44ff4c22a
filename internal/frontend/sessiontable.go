package frontend

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

// stopLevel states when sessions have to end.
type stopLevel byte

const (
	stopNever stopLevel = iota
	stopWhenIdle
	stopNow
)

// pastDeadline is a deadline that makes a blocked read return immediately.
var pastDeadline = time.Unix(1, 0)

// sessionTable contains the open sessions and the connections in their start-up. It is safe for concurrent use.
type sessionTable struct {
	mutex       sync.Mutex
	byProcessID map[uint32]*session
	// admitted is the number of sessions in byProcessID and of those that are about to be added.
	admitted int
	// starting are the connections whose session has not started yet.
	starting map[net.Conn]struct{}
	// level is the highest level that stop was called with.
	level stopLevel
}

// admit reserves a place for a session. It returns TooManyConnections when limit sessions are admitted. add or
// cancelAdmission has to follow.
func (t *sessionTable) admit(limit int) *result.Error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.admitted >= limit {
		return result.Errorf(result.TooManyConnections, "%d caller connections are open", limit)
	}
	t.admitted++
	return nil
}

// cancelAdmission releases the place of an admitted session that was not added.
func (t *sessionTable) cancelAdmission() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.admitted--
}

// add assigns a process id and secret key to an admitted session and adds it. It returns NotRunDraining when the
// server drains.
func (t *sessionTable) add(s *session) *result.Error {
	secret := randomUint32()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.level != stopNever {
		return result.Errorf(result.NotRunDraining, "the daemon is being stopped")
	}
	s.processID = t.freeProcessID()
	s.secretKey = secret
	t.byProcessID[s.processID] = s
	return nil
}

// freeProcessID returns an unused random process id. It is random so that it reveals nothing about other daemons or
// sessions. The mutex must be held.
func (t *sessionTable) freeProcessID() uint32 {
	for {
		// Some clients store the process id in a signed 32-bit integer.
		id := randomUint32() >> 1
		if _, taken := t.byProcessID[id]; id != 0 && !taken {
			return id
		}
	}
}

func (t *sessionTable) remove(s *session) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.byProcessID, s.processID)
	t.admitted--
}

func (t *sessionTable) get(processID uint32) *session {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.byProcessID[processID]
}

// enterStartup sets the deadline of the start-up and allows stop to interrupt it.
func (t *sessionTable) enterStartup(conn net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.starting[conn] = struct{}{}
	deadline := time.Now().Add(startupTimeout)
	if t.level != stopNever {
		deadline = pastDeadline
	}
	conn.SetDeadline(deadline)
}

func (t *sessionTable) leaveStartup(conn net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.starting, conn)
}

// isStopping reports whether the server drains.
func (t *sessionTable) isStopping() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.level != stopNever
}

// stop makes every session end at the given level and interrupts every start-up. It returns the number of sessions.
func (t *sessionTable) stop(level stopLevel) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.level = max(t.level, level)
	for _, s := range t.byProcessID {
		s.stop(level)
	}
	for conn := range t.starting {
		conn.SetReadDeadline(pastDeadline)
	}
	return len(t.byProcessID)
}

func randomUint32() uint32 {
	var data [4]byte
	rand.Read(data[:])
	return binary.BigEndian.Uint32(data[:])
}

// newSessionID returns an id that is unique in the deployment: the name of the daemon and 64 random bits.
func newSessionID(daemon string) string {
	var data [8]byte
	rand.Read(data[:])
	return fmt.Sprintf("%s-%s", daemon, hex.EncodeToString(data[:]))
}
