package engine

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/primaryposition"
)

// evidenceKind is the kind of evidence that an answered read rested on. It is written to logs and counted.
type evidenceKind string

// The kinds of evidence beside leadership proofs, which are named after the kind of the proof.
const (
	// evidenceNone is a read that any position satisfies.
	evidenceNone evidenceKind = "none"
	// proofPrefix precedes the kind of a leadership proof, samplePrefix the kind of the sample that the minimum
	// position is from.
	proofPrefix  = "proof_"
	samplePrefix = "sample_"
)

// readEvidence is what an answered read rested on. The zero value stands for none.
type readEvidence struct {
	kind evidenceKind
	// at is the time of the boot clock from which a proof counts, or at which the position was asked for.
	at time.Duration
	// position is that of the sample; zero for a proof.
	position api.Position
	// target is the target whose answer it is: the witness, or the primary.
	target string
	// holder is the address of the daemon that told of the proof; empty if this daemon asked the targets.
	holder string
}

// name returns the kind in logs and counters.
func (e readEvidence) name() string {
	if e.kind == "" {
		return string(evidenceNone)
	}
	return string(e.kind)
}

// evidenceOf returns the evidence of a read whose minimum position is that of a sample.
func evidenceOf(s primaryposition.Sample) readEvidence {
	return readEvidence{
		kind: evidenceKind(samplePrefix + s.Source.Kind.String()), at: s.AskedAt, position: s.Position,
		target: s.Source.Target,
	}
}

// proofEvidence returns the present leadership proof as the evidence of a read. The caller holds the lock.
func (g *group) proofEvidence() readEvidence {
	e := readEvidence{
		kind: evidenceKind(proofPrefix + string(g.proofOrigin.kind)), at: g.provenUntil - leadership.ProofValidity,
		target: g.proofOrigin.target,
	}
	if g.proofOrigin.kind == proofOfHolder {
		e.holder = g.proofHolder
	}
	return e
}
