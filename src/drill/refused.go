package drill

import (
	"errors"
	"net"
	"syscall"

	"github.com/valyala/fasthttp"
)

// refused reports whether an error means that nothing of the request left.
func refused(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
