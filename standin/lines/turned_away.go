package lines

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
)

// Treatment is what the store does with the calls of one daemon.
type Treatment int

// The treatments of a daemon that the store turns away.
const (
	// TreatUnavailable answers with status 503.
	TreatUnavailable Treatment = iota
	// TreatTooMany answers with status 429.
	TreatTooMany
	// TreatReset resets the connection.
	TreatReset
	// TreatSilent answers nothing.
	TreatSilent
	// Treatments is the number of treatments.
	Treatments
)

// TurnAway makes the store turn away the calls from a source IP address. Watches that wait for changes fail with the next
// change.
func (s *Store) TurnAway(source string, treatment Treatment) { s.turnedAway.Store(source, treatment) }

// ServeAgain ends TurnAway.
func (s *Store) ServeAgain(source string) { s.turnedAway.Delete(source) }

// Substitute replaces a text in all objects that daemons write from now on.
func (s *Store) Substitute(text, by string) { s.substitutes.Store(text, by) }

func (s *Store) substitute(spec json.RawMessage) json.RawMessage {
	s.substitutes.Range(func(text, by any) bool {
		spec = bytes.ReplaceAll(spec, []byte(text.(string)), []byte(by.(string)))
		return true
	})
	return spec
}

// refuse refuses a call while the store is down or turns its sender away, and reports whether it has.
func (s *Store) refuse(w http.ResponseWriter, r *http.Request) bool {
	if s.Down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	source, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	treatment, ok := s.turnedAway.Load(source)
	if !ok {
		return false
	}
	switch treatment.(Treatment) {
	case TreatUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TreatTooMany:
		w.WriteHeader(http.StatusTooManyRequests)
	case TreatSilent:
		<-r.Context().Done()
	default:
		reset(w)
	}
	return true
}

// reset resets the connection of a call.
func reset(w http.ResponseWriter) {
	if era, ok := w.(*eraWriter); ok {
		w = era.ResponseWriter
	}
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
