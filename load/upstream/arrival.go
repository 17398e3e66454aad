package upstream

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// timespecSize is the size of a time stamp in a control message of the kernel: seconds and nanoseconds.
const timespecSize = 16

// enableArrivalTimes makes the kernel record when the segments of a listener's connections arrive.
func enableArrivalTimes(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1))
	})
	if err == nil {
		err = optErr
	}
	return errors.WithStack(err)
}

// readWithArrival reads from a connection and returns when the last byte read arrived at the socket, or the zero time
// if the kernel did not record it.
func readWithArrival(c *net.TCPConn, p []byte) (int, time.Time, error) {
	if len(p) == 0 {
		return 0, time.Time{}, nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, time.Time{}, errors.WithStack(err)
	}
	var n, controlSize int
	var readErr error
	control := make([]byte, syscall.CmsgSpace(timespecSize))
	err = raw.Read(func(fd uintptr) bool {
		for {
			n, controlSize, _, _, readErr = syscall.Recvmsg(int(fd), p, control, 0)
			if readErr != syscall.EINTR {
				return readErr != syscall.EAGAIN
			}
		}
	})
	switch {
	case err != nil:
		return 0, time.Time{}, err // as it is: package net/http looks for time-outs
	case readErr != nil:
		return 0, time.Time{}, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvmsg", readErr)}
	case n == 0:
		return 0, time.Time{}, io.EOF
	}
	return n, arrivalTime(control[:controlSize]), nil
}

// arrivalTime returns the time stamp in control messages, or the zero time if there is none.
func arrivalTime(control []byte) time.Time {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return time.Time{}
	}
	for _, m := range messages {
		if m.Header.Level == syscall.SOL_SOCKET && m.Header.Type == syscall.SCM_TIMESTAMPNS && len(m.Data) >= timespecSize {
			return time.Unix(int64(binary.NativeEndian.Uint64(m.Data)), int64(binary.NativeEndian.Uint64(m.Data[8:])))
		}
	}
	return time.Time{}
}
