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

// stopLevel says when sessions are to end.
type stopLevel byte

const (
	stopNever stopLevel = iota
	stopWhenIdle
	stopNow
)

// longAgo as a deadline makes a blocked read return at once.
var longAgo = time.Unix(1, 0)

// sessionTable holds the open sessions.
type sessionTable struct {
	mutex       sync.Mutex
	byProcessID map[uint32]*session
	// admitted counts the sessions in byProcessID and those that are about to be added.
	admitted int
	// starting are the connections before authentication ends.
	starting map[net.Conn]struct{}
	level    stopLevel
}

// admit reserves one of limit places.
func (t *sessionTable) admit(limit int) *result.Error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.admitted >= limit {
		return result.Errorf(result.TooManyConnections, "%d caller connections are open", limit)
	}
	t.admitted++
	return nil
}

// dismiss gives back the place of a session that was not added.
func (t *sessionTable) dismiss() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.admitted--
}

// add gives an admitted session its keys and enters it. It is refused when the server drains.
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

// freeProcessID draws a random number, so that it tells nothing of other daemons or sessions.
func (t *sessionTable) freeProcessID() uint32 {
	for {
		// Some clients keep the process id in a signed integer.
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

// enterStartup lets stop interrupt a connection before its session starts.
func (t *sessionTable) enterStartup(conn net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.starting[conn] = struct{}{}
	deadline := time.Now().Add(startupTimeout)
	if t.level != stopNever {
		deadline = longAgo
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

// stop tells every session to end and returns how many there are.
func (t *sessionTable) stop(level stopLevel) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.level = max(t.level, level)
	for _, s := range t.byProcessID {
		s.stop(level)
	}
	for conn := range t.starting {
		conn.SetReadDeadline(longAgo)
	}
	return len(t.byProcessID)
}

func randomUint32() uint32 {
	var data [4]byte
	rand.Read(data[:])
	return binary.BigEndian.Uint32(data[:])
}

// newSessionID returns an id that is unique in the deployment.
func newSessionID(daemon string) string {
	var data [8]byte
	rand.Read(data[:])
	return fmt.Sprintf("%s-%s", daemon, hex.EncodeToString(data[:]))
}
