package readroute

// Default figures of a Budget.
const (
	// DefaultRetryShare is the number of retries for each request.
	DefaultRetryShare = 0.2
	// DefaultRetryBurst is the number of retries that a quiet time saves up.
	DefaultRetryBurst = 10
)

// Budget bounds retries to a share of the requests, so that a fault does not multiply the load.
// It is a token bucket filled by requests. It is not safe for concurrent use.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full Budget of share retries for each request and at most burst saved up.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: share, burst: float64(burst), tokens: float64(burst)}
}

// Request takes in a new request, which adds its share of a retry.
func (b *Budget) Request() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Take reports whether a retry is allowed and, if so, uses it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries that are saved up.
func (b *Budget) Tokens() float64 {
	return b.tokens
}
