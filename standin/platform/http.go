package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// writeJSON sends a response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

// dropConnection ends the connection of the request without a response. It doesn't return.
func dropConnection() {
	panic(http.ErrAbortHandler)
}

// drainBody reads the request body to its end, because net/http detects a closed connection only after that.
func drainBody(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
}

// sleep waits for d or until the caller closes the connection.
func sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
