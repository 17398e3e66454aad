package journal

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
)

// headerSize is the size of a record's header: the length and the CRC-32C of the payload, each 4 bytes
// in little-endian order. The payload follows the header.
const headerSize = 8

// maxPayloadSize is the largest payload length in bytes that is accepted; a larger one is damage.
const maxPayloadSize = 1 << 30

// castagnoli is the table of the CRC-32C polynomial.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record with the payload to out.
func appendRecord(out, payload []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(payload, castagnoli))
	return append(out, payload...)
}

// readRecord returns the payload of the record at the start of data, and the data after the record.
// ok is false if the record is incomplete or damaged. An empty payload counts as damage, because
// zeroed bytes would otherwise be valid records.
func readRecord(data []byte) (payload, rest []byte, ok bool) {
	if len(data) < headerSize {
		return nil, nil, false
	}
	size := uint64(binary.LittleEndian.Uint32(data))
	if size == 0 || size > maxPayloadSize || size > uint64(len(data)-headerSize) {
		return nil, nil, false
	}
	payload = data[headerSize : headerSize+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, nil, false
	}
	return payload, data[headerSize+size:], true
}

// readBatch returns the entries of the record at the start of data, and the data after the record.
func readBatch(data []byte) (entries []*wire.Entry, rest []byte, ok bool) {
	payload, rest, ok := readRecord(data)
	if !ok {
		return nil, nil, false
	}
	var b wire.Batch
	if proto.Unmarshal(payload, &b) != nil || len(b.Entries) == 0 {
		return nil, nil, false
	}
	return b.Entries, rest, true
}

// readSegment passes each record of a segment to insert, with its position in bytes, and returns the size of the valid
// part in bytes. Each record is synced before the next one is written, so only the last can be incomplete. A valid
// record after an invalid one means that synced data is damaged, which is an error.
func readSegment(data []byte, insert func(offset, size int, entries []*wire.Entry) error) (validSize int, err error) {
	rest := data
	for len(rest) > 0 {
		batch, next, ok := readBatch(rest)
		if !ok {
			break
		}
		if err := insert(validSize, len(rest)-len(next), batch); err != nil {
			return validSize, err
		}
		rest = next
		validSize = len(data) - len(rest)
	}
	for i := 1; i < len(rest); i++ {
		if _, _, ok := readBatch(rest[i:]); ok {
			return validSize, errors.Errorf("an invalid record at byte %d, followed by a valid record at byte %d", validSize, validSize+i)
		}
	}
	return validSize, nil
}

// gzipHeader begins a state that packState compressed. No encoding of a state machine begins with it: a JSON object
// begins with a brace, and a protobuf message with the tag of a field.
const gzipHeader = "\x1f\x8b"

// packState returns a copy of a snapshot whose state is compressed.
func packState(s *wire.Snapshot) (*wire.Snapshot, error) {
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	if _, err := z.Write(s.State); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := z.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return &wire.Snapshot{Index: s.Index, Term: s.Term, LogMs: s.LogMs, Members: s.Members, State: packed.Bytes()}, nil
}

// unpackState decompresses the state of a snapshot if packState compressed it.
func unpackState(s *wire.Snapshot) error {
	if !bytes.HasPrefix(s.State, []byte(gzipHeader)) {
		return nil
	}
	z, err := gzip.NewReader(bytes.NewReader(s.State))
	if err != nil {
		return errors.WithStack(err)
	}
	s.State, err = io.ReadAll(z)
	return errors.WithStack(err)
}
