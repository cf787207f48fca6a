package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"jayspindle/internal/state/view"
)

const (
	// MaxToken is the maximum length of an idempotency key in bytes.
	MaxToken = 128
	// MaxAnswer is the maximum size of a stored answer in bytes.
	MaxAnswer = 4 << 10
	// maxMessageBytes limits an encoded Request or Reply.
	maxMessageBytes = MaxAnswer + 1<<10
	// MaxCapacity is the maximum number of records of a store. More could not be
	// transferred, because the decoder accepts arrays of at most 65,536 elements.
	MaxCapacity = 60_000
	// maxBulkBytes limits an encoded Transfer or HistorySnapshot. It allows for a full store
	// with answers of the maximum size.
	maxBulkBytes = MaxCapacity * maxMessageBytes
)

// Key identifies a request across resends by its idempotency key (Token) within a
// service.
type Key struct {
	Service view.ServiceID `cbor:"1,keyasint"`
	Token   string         `cbor:"2,keyasint"` // the Idempotency-Key header
}

// Execution identifies one attempt to run a request. A restarted agent has a
// new incarnation, so an ID is never used twice.
type Execution struct {
	Agent    view.Incarnation `cbor:"1,keyasint"`
	Sequence uint64           `cbor:"2,keyasint"` // never reused by the agent
}

// Answer is the result of an execution.
type Answer struct {
	Body     []byte `cbor:"1,keyasint,omitempty"` // the response, encoded by the caller of this package
	TooLarge bool   `cbor:"2,keyasint,omitempty"` // the response exceeds MaxAnswer and is not kept
	Unknown  bool   `cbor:"3,keyasint,omitempty"` // handed over, but no response arrived
}

// NewAnswer returns the answer to store for an encoded response.
func NewAnswer(body []byte) Answer {
	if len(body) > MaxAnswer {
		return Answer{TooLarge: true}
	}

	return Answer{Body: body}
}

// Verb is the operation that a claimant requests from a holder.
type Verb uint8

// The verbs of a Request.
const (
	Grant    Verb = iota + 1 // reserve the key for the execution
	Complete                 // store the answer of the execution
	Release                  // the execution was not handed over and never will be
	Lookup                   // report the state of the key
)

// Status is the state of a key at a holder, as reported in a reply.
type Status uint8

// The statuses of a Reply.
const (
	Granted   Status = iota + 1 // reserved for the requesting execution
	Held                        // reserved for another execution
	Completed                   // an execution has ended
	Released                    // the requesting execution has released the key
	Free                        // not claimed
	Full                        // not claimed, and the store has no room for a claim
	Moved                       // another agent answers for the seat
	NotHolder                   // this agent does not answer for the seat
	Sealed                      // free, for claimants that include the membership of the seal
)

// Request is sent by a claimant to the agent that answers for a seat.
type Request struct {
	Verb      Verb             `cbor:"1,keyasint"`
	Seat      view.Incarnation `cbor:"2,keyasint"`
	Key       Key              `cbor:"3,keyasint"`
	Execution Execution        `cbor:"4,keyasint"`
	Answer    Answer           `cbor:"5,keyasint,omitempty"` // of Complete
	Sealed    view.Position    `cbor:"6,keyasint"`           // of the newest seal that the claim includes
}

// Reply is the answer to a Request. Seat, Key and Execution are those of the
// request, so that late and duplicated replies can be told apart.
type Reply struct {
	Status    Status           `cbor:"1,keyasint"`
	Seat      view.Incarnation `cbor:"2,keyasint"`
	Key       Key              `cbor:"3,keyasint"`
	Execution Execution        `cbor:"4,keyasint"`
	Owner     Execution        `cbor:"5,keyasint,omitempty"` // of Held and Completed
	Answer    Answer           `cbor:"6,keyasint,omitempty"` // of Completed
	Successor view.Incarnation `cbor:"7,keyasint,omitempty"` // of Moved
	Verb      Verb             `cbor:"8,keyasint"`           // of the request
	Seal      *Seal            `cbor:"9,keyasint,omitempty"` // of Sealed
}

// Record is the encoded form of one claim in a Transfer. It holds an age in
// place of a time, because the clocks of two agents differ.
type Record struct {
	Key       Key           `cbor:"1,keyasint"`
	Execution Execution     `cbor:"2,keyasint"`
	Status    Status        `cbor:"3,keyasint"` // Granted, Completed or Released
	Answer    Answer        `cbor:"4,keyasint,omitempty"`
	Age       time.Duration `cbor:"5,keyasint"`
}

// decoder rejects input that exceeds the structure of a valid message.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      16,
		MaxNestedLevels:  6,
	}.DecMode()
	if err != nil {
		panic(err)
	}

	return mode
}()

// Encode returns the CBOR encoding of a message of this package.
func Encode[M Request | Reply | Transfer | HistorySnapshot](message M) ([]byte, error) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return nil, newError("encode", KindEncoding, err)
	}

	return encoded, nil
}

// DecodeRequest decodes and checks a Request.
func DecodeRequest(encoded []byte) (Request, error) {
	request, err := decode[Request](encoded, maxMessageBytes)
	if err != nil {
		return Request{}, err
	}

	return request, request.Check()
}

// Check returns an error for the first invalid field.
func (r *Request) Check() error {
	if r.Verb < Grant || r.Verb > Lookup {
		return newError("check request", KindEncoding, errors.Errorf("verb %d is not known", r.Verb))
	}

	return checkLimits(r.Key, r.Answer)
}

// DecodeReply decodes and checks a Reply.
func DecodeReply(encoded []byte) (Reply, error) {
	reply, err := decode[Reply](encoded, maxMessageBytes)
	if err != nil {
		return Reply{}, err
	}

	return reply, reply.Check()
}

// Check returns an error for the first invalid field.
func (r *Reply) Check() error {
	if r.Status < Granted || r.Status > Sealed {
		return newError("check reply", KindEncoding, errors.Errorf("status %d is not known", r.Status))
	}

	if (r.Status == Sealed) != (r.Seal != nil) {
		return newError("check reply", KindEncoding, errors.New("a seal comes with status Sealed and no other"))
	}

	if r.Seal != nil {
		if err := r.Seal.Check(); err != nil {
			return err
		}
	}

	return checkLimits(r.Key, r.Answer)
}

// DecodeTransfer decodes and checks a Transfer.
func DecodeTransfer(encoded []byte) (Transfer, error) {
	transfer, err := decode[Transfer](encoded, maxBulkBytes)
	if err != nil {
		return Transfer{}, err
	}

	return transfer, transfer.Check()
}

// Check returns an error for the first invalid record or seal.
func (t *Transfer) Check() error {
	if t.Seal != nil {
		if err := t.Seal.Check(); err != nil {
			return err
		}
	}

	return CheckRecords(t.Records)
}

// CheckRecords returns an error for the first invalid record.
func CheckRecords(records []Record) error {
	for _, r := range records {
		if r.Status != Granted && r.Status != Completed && r.Status != Released {
			return newError("check records", KindEncoding, errors.Errorf("record has status %d", r.Status))
		}

		if r.Age < 0 {
			return newError("check records", KindLimit, errors.Errorf("negative age %s", r.Age))
		}

		if err := checkLimits(r.Key, r.Answer); err != nil {
			return err
		}
	}

	return nil
}

// DecodeHistorySnapshot decodes and checks a HistorySnapshot.
func DecodeHistorySnapshot(encoded []byte) (HistorySnapshot, error) {
	snapshot, err := decode[HistorySnapshot](encoded, maxBulkBytes)
	if err != nil {
		return HistorySnapshot{}, err
	}

	return snapshot, snapshot.Check()
}

// Check returns an error for the first invalid membership. Members must be in
// ascending order of incarnation, because among equal scores the first one wins.
func (p *HistorySnapshot) Check() error {
	for _, record := range p.Memberships {
		sorted := slices.IsSortedFunc(record.Members, func(a, b Member) int {
			return cmp.Compare(a.Incarnation, b.Incarnation)
		})
		if record.Age < 0 || p.CoveredDuration < 0 || len(record.Members) == 0 || !sorted {
			return newError("check history", KindLimit, errors.Errorf("membership at %s is not valid", record.Position))
		}
	}

	for _, closing := range p.Closings {
		if err := closing.Check(); err != nil {
			return err
		}
	}

	return nil
}

func decode[M any](encoded []byte, limit int) (M, error) {
	var message M

	if len(encoded) > limit {
		return message, newError("decode", KindLimit, errors.Errorf("%d bytes, at most %d are allowed", len(encoded), limit))
	}

	if err := decoder.Unmarshal(encoded, &message); err != nil {
		return message, newError("decode", KindEncoding, err)
	}

	return message, nil
}

func checkLimits(key Key, answer Answer) error {
	if len(key.Token) == 0 || len(key.Token) > MaxToken {
		return newError("decode", KindLimit,
			errors.Errorf("idempotency key of %d bytes, 1 to %d are allowed", len(key.Token), MaxToken))
	}

	if len(answer.Body) > MaxAnswer {
		return newError("decode", KindLimit,
			errors.Errorf("answer of %d bytes, at most %d are allowed", len(answer.Body), MaxAnswer))
	}

	return nil
}
