// Package socket opens TCP connections that notice a peer which went silent.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a connection whose peer does not answer any more.
const (
	// silence is how long sent bytes may go unacknowledged. It is longer than
	// a lost packet's second retransmission.
	silence       = 1200 * time.Millisecond
	keepAliveIdle = 2 * time.Second
	keepAliveEach = time.Second
	keepAliveMost = 2
)

// Dialer returns a dialer whose connections end once the peer is silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: control}
}

// ListenConfig returns a listener's options for such connections.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEach, Count: keepAliveMost}
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
