package readroute

// Defaults of a Budget.
const (
	// DefaultRetryShare is the number of retries that each request adds to the budget.
	DefaultRetryShare = 0.2
	// DefaultRetryBurst is the capacity of the budget: the largest number of retries in a burst.
	DefaultRetryBurst = 10
)

// Budget limits retries to a share of the requests, so that a fault does not multiply the load.
// It is a token bucket that requests fill. It is not safe for concurrent use.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full Budget of burst retries, to which each request adds share retries up to burst.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: share, burst: float64(burst), tokens: float64(burst)}
}

// AddRequest records a new request, which adds its share of a retry.
func (b *Budget) AddRequest() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Take reports whether a retry is allowed and, if so, deducts it from the budget.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries that the budget allows now.
func (b *Budget) Tokens() float64 {
	return b.tokens
}
