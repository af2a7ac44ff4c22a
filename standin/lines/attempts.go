package lines

import (
	"strings"
	"time"
)

// Attempt is a statement as it arrived at a target.
type Attempt struct {
	ID, Group, Target, Source string
	// ArrivedAt is the time at which the target received it, EndedAt that at which it had answered or given up; zero if it
	// is still at work.
	ArrivedAt, EndedAt time.Time
	// BrokeOff is true if the target ended the connection, or ended itself, before its whole answer.
	BrokeOff bool
	// Code is the code of the error that the target answered.
	Code string
}

// attemptsOf returns the statements that the targets received.
func (g *Group) attemptsOf() []Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Attempt
	for _, d := range g.targets {
		all = append(all, d.attempts...)
	}
	return all
}

// serveLine records the attempt of a statement and answers it. It returns false if the connection has to be closed.
func (s *targetSession) serveLine(line string) bool {
	id := ""
	if words := strings.SplitN(line, " ", 3); words[0] == "QUERY" && len(words) == 3 && words[1] != "-" {
		id = words[1]
	}
	if id == "" {
		return s.target.awaitResponsive() && s.handle(line)
	}
	s.brokeOff, s.errorCode = false, ""
	end := s.beginAttempt(id)
	ok := s.target.awaitResponsive() && s.handle(line)
	end(!ok || s.brokeOff)
	return ok
}

// beginAttempt records that a statement has arrived, and returns the function that records its end.
func (s *targetSession) beginAttempt(id string) func(brokeOff bool) {
	if s.source == "" {
		s.source = s.target.sourceOf(s.out)
	}
	d := s.target
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	number, crashes := len(d.attempts), d.crashes
	d.attempts = append(d.attempts, Attempt{
		ID: id, Group: d.group.Name, Target: d.ID, Source: s.source, ArrivedAt: s.arrivedAt,
	})
	return func(brokeOff bool) {
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		a := &d.attempts[number]
		a.EndedAt, a.Code, a.BrokeOff = time.Now(), s.errorCode, brokeOff || d.crashes != crashes
	}
}
