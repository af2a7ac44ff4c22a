package dialer

import (
	"errors"
	"net"
)

// IsTimeout reports whether err means that something on a connection did not come in time.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
