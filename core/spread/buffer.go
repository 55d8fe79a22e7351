package spread

const (
	// MaxBufferRecords is the maximum number of records that a node keeps for
	// its peers. At 27,000 catalogue changes a day, they cover about 50
	// minutes.
	MaxBufferRecords = 1024
	// MaxBufferBytes limits the memory of one buffer.
	MaxBufferBytes = 2 << 20
)

// A Record is one record of a stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// buffer holds the newest records of a stream, without gaps.
type buffer struct {
	records []Record
	bytes   int
	next    uint64
}

// reset empties the buffer. The next record to be added has the offset next.
func (b *buffer) reset(next uint64) {
	*b = buffer{next: next}
}

// oldest returns the lowest buffered offset, or the next offset if the buffer
// is empty.
func (b *buffer) oldest() uint64 {
	return b.next - uint64(len(b.records))
}

func (b *buffer) add(r Record) {
	b.records = append(b.records, r)
	b.bytes += len(r.Data)
	b.next = r.Offset + 1
	for len(b.records) > MaxBufferRecords || b.bytes > MaxBufferBytes {
		b.bytes -= len(b.records[0].Data)
		b.records[0] = Record{}
		b.records = b.records[1:]
	}
}

// from returns the records from offset on, up to maxBytes in total but at least
// one. It returns nil if the buffer does not hold the record at offset.
func (b *buffer) from(offset uint64, maxBytes int) []Record {
	if offset < b.oldest() || offset >= b.next {
		return nil
	}
	records := b.records[offset-b.oldest():]
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if i > 0 && size > maxBytes {
			return records[:i]
		}
	}
	return records
}
