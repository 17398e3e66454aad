package journal

import (
	"encoding/binary"
	"hash/crc32"

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

// readSegment returns the entries of a segment and the size of its valid part in bytes. Each record is
// synced before the next one is written, so only the last can be incomplete. A valid record after an
// invalid one means that synced data is damaged, which is an error.
func readSegment(data []byte) (entries []*wire.Entry, validSize int, err error) {
	rest := data
	for len(rest) > 0 {
		batch, next, ok := readBatch(rest)
		if !ok {
			break
		}
		entries, rest = append(entries, batch...), next
	}
	validSize = len(data) - len(rest)
	for i := 1; i < len(rest); i++ {
		if _, _, ok := readBatch(rest[i:]); ok {
			return nil, validSize, errors.Errorf("invalid record at byte %d, followed by a valid record at byte %d", validSize, validSize+i)
		}
	}
	return entries, validSize, nil
}
