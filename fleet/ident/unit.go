package ident

// RequestRate is a rate in requests per second.
type RequestRate float64

// BitRate is a rate in megabits per second.
type BitRate float64

// BytesPerSecond returns the rate in bytes per second.
func (r BitRate) BytesPerSecond() float64 { return float64(r) * 1e6 / 8 }

// Slots is a number of requests that run at the same time.
type Slots uint32

// Connections is a number of open connections.
type Connections uint32

// Bytes is a size in bytes.
type Bytes int64
