package journal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
)

// A record is a length and a CRC-32C of the payload, each 4 bytes little-endian, and the payload.
const headerSize = 8

// maxRecord bounds a length field, so that a damaged one is not believed.
const maxRecord = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(out, payload []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(payload, castagnoli))
	return append(out, payload...)
}

// readRecord returns the payload of the record at the start of data, and the rest; ok is false
// for an incomplete or damaged one. An empty payload is damage: a run of zeros would be one.
func readRecord(data []byte) (payload, rest []byte, ok bool) {
	if len(data) < headerSize {
		return nil, nil, false
	}
	size := uint64(binary.LittleEndian.Uint32(data))
	if size == 0 || size > maxRecord || size > uint64(len(data)-headerSize) {
		return nil, nil, false
	}
	payload = data[headerSize : headerSize+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, nil, false
	}
	return payload, data[headerSize+size:], true
}

// readBatch returns the entries of the record at the start of data, and the rest.
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

// readSegment returns the entries of a segment and the size of its good part. Each record was synced
// before the next one was written, so only the last can be torn: a good record after a bad one
// means that synced data was damaged, which is an error.
func readSegment(data []byte) (entries []*wire.Entry, good int, err error) {
	rest := data
	for len(rest) > 0 {
		batch, next, ok := readBatch(rest)
		if !ok {
			break
		}
		entries, rest = append(entries, batch...), next
	}
	good = len(data) - len(rest)
	for i := 1; i < len(rest); i++ {
		if _, _, ok := readBatch(rest[i:]); ok {
			return nil, good, errors.Errorf("bad record at byte %d before a good one at byte %d", good, good+i)
		}
	}
	return entries, good, nil
}
