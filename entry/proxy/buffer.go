package proxy

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"cuminfall.example/entry/forward"
)

const (
	// maxBufferedResponse is the longest response, in bytes, that is read completely before its header is sent to the
	// caller, so that the request can be retried if the response is incomplete. A response that ends with its connection
	// must not be longer.
	maxBufferedResponse = 256 << 10
	// maxChunkedResponse is the longest response in chunks, in bytes.
	maxChunkedResponse = 64 << 20
	// defaultResponseMemory is the default of Options.ResponseMemory.
	defaultResponseMemory = 8 << 20
)

func errEndlessResponse(limit int) error {
	return errors.Errorf("the upstream's response states no length and has more than %d bytes", limit)
}

// bufferBudget limits the memory of buffers together. The zero value allows nothing.
type bufferBudget struct{ free atomic.Int64 }

func (b *bufferBudget) take(n int64) bool {
	if b.free.Add(-n) >= 0 {
		return true
	}
	b.give(n)
	return false
}

func (b *bufferBudget) give(n int64) { b.free.Add(n) }

// blockSize is the size of a buffer's blocks in bytes.
const blockSize = 16 << 10

var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// responseBuffer is the part of a response that was read before its header is sent to the caller. Its first block does
// not count towards the budget.
type responseBuffer struct {
	budget *bufferBudget
	blocks []*[blockSize]byte
	size   int
}

// grow adds a block if the budget allows it.
func (b *responseBuffer) grow() bool {
	if len(b.blocks) > 0 && !b.budget.take(blockSize) {
		return false
	}
	b.blocks = append(b.blocks, blocks.Get().(*[blockSize]byte))
	return true
}

// release gives the blocks back.
func (b *responseBuffer) release() {
	if len(b.blocks) > 1 {
		b.budget.give(int64(len(b.blocks)-1) * blockSize)
	}
	for _, block := range b.blocks {
		blocks.Put(block)
	}
	b.blocks, b.size = nil, 0
}

// readFrom reads a response to its end, to maxBufferedResponse, or as far as the budget allows.
func (b *responseBuffer) readFrom(x *forward.Exchange) error {
	for !x.Complete() {
		if b.size == len(b.blocks)*blockSize && (b.size >= maxBufferedResponse || !b.grow()) {
			break
		}
		n, err := x.Read(b.blocks[len(b.blocks)-1][b.size%blockSize:])
		b.size += n
		if err != nil && err != io.EOF {
			return err
		}
	}
	if x.Unframed() && b.size >= maxBufferedResponse {
		return errEndlessResponse(maxBufferedResponse)
	}
	return nil
}

// WriteTo implements io.WriterTo.
func (b *responseBuffer) WriteTo(w io.Writer) (written int64, err error) {
	for left := b.size; left > 0 && err == nil; left = b.size - int(written) {
		var n int
		n, err = w.Write(b.blocks[written/blockSize][:min(left, blockSize)])
		written += int64(n)
	}
	return written, err
}

// copyBody returns a copy of the buffered bytes.
func (b *responseBuffer) copyBody() []byte {
	body := bytes.NewBuffer(make([]byte, 0, b.size))
	_, _ = b.WriteTo(body) // a bytes.Buffer does not fail
	return body.Bytes()
}

// stream copies the rest of a response to the caller.
func stream(w io.Writer, x *forward.Exchange) error {
	if x.Length >= 0 {
		_, err := io.Copy(w, x)
		return err
	}
	limit := maxChunkedResponse
	if x.Unframed() {
		limit = maxBufferedResponse
	}
	_, err := io.CopyN(w, x, int64(limit)+1)
	if err == nil {
		return errEndlessResponse(limit)
	}
	if err == io.EOF {
		return nil
	}
	return err
}
