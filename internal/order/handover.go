package order

import (
	"encoding/binary"
	"time"

	"heathershed/internal/contract"

	linkpb "heathershed/api/link"
)

// Names of the headers that carry the key of a transferred record. They precede
// the headers of the answer.
const (
	headerRecordOwner       = "heathershed-record-owner"
	headerRecordKind        = "heathershed-record-kind"
	headerRecordFingerprint = "heathershed-record-fingerprint"
	headerRecordVM          = "heathershed-record-vm"
	numRecordHeaders        = 4
)

// Close makes the table reject all new orders from now on. Recorded answers are
// still returned. A home that leaves closes its table before it exports the
// records, so that no order can run that the exported records do not contain.
func (t *Table) Close() { t.closed = true }

// Export closes the table and returns its records for transfer to the
// successors of this home. A running order is exported as MayHaveRun, because
// its outcome will not reach the successors.
func (t *Table) Export() []*linkpb.OrderRecord {
	t.Close()
	records := make([]*linkpb.OrderRecord, 0, len(t.records))
	for k, r := range t.records {
		answer := Answer{Verdict: contract.MayHaveRun, Reason: contract.ReasonOrderUnknown}
		if r.answer != nil {
			answer = *r.answer
		}
		records = append(records, encodeRecord(k, r.fingerprint, &answer))
	}
	return records
}

// Import adds the records of a home that left and returns the number of
// records that were added. Records that are unreadable, too old, already
// present or beyond MaxRecords are skipped. For an order without a record,
// Lookup returns MayHaveRun, except for a caller's first attempt.
func (t *Table) Import(now time.Time, records []*linkpb.OrderRecord) (kept int) {
	t.advance(now)
	for _, encoded := range records {
		k, r, ok := decodeRecord(encoded)
		if !ok || !k.id.Time().After(t.cutoff()) || t.records[k] != nil || len(t.records) >= t.config.MaxRecords {
			continue
		}
		t.records[k] = r
		t.expiry.add(k, k.id.Time().Add(t.config.Horizon))
		t.retainBody(k, r)
		kept++
	}
	return kept
}

// Lookup answers, at the successor, for an id whose home has left. It never
// lets an order run: without a transferred record the order may have run,
// unless this is the caller's first attempt.
func (t *Table) Lookup(now time.Time, id contract.OrderID, owner, kind string, fingerprint uint64, a Attempt) Decision {
	t.advance(now)
	r := t.records[key{owner, kind, id}]
	switch {
	case !id.Time().After(t.cutoff()):
		return refuse(a.UnrecordedVerdict(), contract.ReasonOrderExpired)
	case r == nil && a.first():
		return refuse(contract.NotRun, contract.ReasonOrderHome)
	case r == nil:
		return Decision{Kind: DecisionMayHaveRun, Reason: contract.ReasonOrderUnknown}
	case r.fingerprint != fingerprint:
		return refuse(contract.MayHaveRun, contract.ReasonBadRequest)
	case r.answer == nil:
		return Decision{Kind: DecisionRunning, Reason: contract.ReasonOrderRunning}
	}
	return recorded(r.answer)
}

func encodeRecord(k key, fingerprint uint64, a *Answer) *linkpb.OrderRecord {
	header := func(name string, value []byte) *linkpb.Header {
		return &linkpb.Header{Name: []byte(name), Value: value}
	}
	headers := make([]*linkpb.Header, 0, numRecordHeaders+len(a.Headers))
	headers = append(headers,
		header(headerRecordOwner, []byte(k.owner)),
		header(headerRecordKind, []byte(k.kind)),
		header(headerRecordFingerprint, binary.LittleEndian.AppendUint64(nil, fingerprint)),
		header(headerRecordVM, []byte(a.VM)))
	for _, h := range a.Headers {
		headers = append(headers, &linkpb.Header{Name: h[0], Value: h[1]})
	}
	return &linkpb.OrderRecord{
		OrderId: append([]byte(nil), k.id[:]...),
		Verdict: uint32(a.Verdict),
		Reason:  uint32(a.Reason),
		Status:  uint32(a.Status),
		Headers: headers,
		Body:    a.Body,
	}
}

func decodeRecord(e *linkpb.OrderRecord) (key, *record, bool) {
	h := e.GetHeaders()
	if len(e.GetOrderId()) != len(contract.OrderID{}) || len(h) < numRecordHeaders || len(h[2].GetValue()) != 8 {
		return key{}, nil, false
	}
	if string(h[0].GetName()) != headerRecordOwner || string(h[2].GetName()) != headerRecordFingerprint {
		return key{}, nil, false
	}
	k := key{owner: string(h[0].GetValue()), kind: string(h[1].GetValue())}
	copy(k.id[:], e.GetOrderId())
	answer := &Answer{
		Verdict: verdictOf(e.GetVerdict()),
		Reason:  contract.Reason(e.GetReason()),
		Status:  int(e.GetStatus()),
		Body:    e.GetBody(),
		VM:      string(h[3].GetValue()),
	}
	for _, one := range h[numRecordHeaders:] {
		answer.Headers = append(answer.Headers, [2][]byte{one.GetName(), one.GetValue()})
	}
	return k, &record{fingerprint: binary.LittleEndian.Uint64(h[2].GetValue()), state: stateEnded, answer: answer}, true
}

// verdictOf converts a verdict from the wire. Unknown values are read as
// MayHaveRun.
func verdictOf(v uint32) contract.Verdict {
	switch contract.Verdict(v) {
	case contract.NotRun:
		return contract.NotRun
	case contract.Ran:
		return contract.Ran
	}
	return contract.MayHaveRun
}
