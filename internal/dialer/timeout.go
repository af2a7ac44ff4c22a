package dialer

import (
	"errors"
	"net"
)

// IsTimeout reports whether err is or wraps a net.Error that is a timeout.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
