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
	// MaxToken is the longest idempotency key in bytes.
	MaxToken = 128
	// MaxAnswer is the largest stored answer in bytes.
	MaxAnswer = 4 << 10
	// maxMessage bounds an encoded Request or Reply in bytes.
	maxMessage = MaxAnswer + 1<<10
	// MaxCapacity is the largest number of records of a store. More could not be
	// transferred: the decoder takes arrays of 65,536 elements.
	MaxCapacity = 60_000
	// maxBulk bounds an encoded Transfer or Past in bytes: the largest store with
	// the largest answers.
	maxBulk = MaxCapacity * maxMessage
)

// Key identifies a request across resends.
type Key struct {
	Service view.ServiceID `cbor:"1,keyasint"`
	Token   string         `cbor:"2,keyasint"` // the Idempotency-Key header
}

// Execution identifies one attempt to run a request. A restarted agent has a
// new incarnation, so an execution is never named twice.
type Execution struct {
	Agent    view.Incarnation `cbor:"1,keyasint"`
	Sequence uint64           `cbor:"2,keyasint"` // never reused by the agent
}

// Answer is the result of an execution.
type Answer struct {
	Body     []byte `cbor:"1,keyasint,omitempty"` // the response as the shell encodes it
	TooLarge bool   `cbor:"2,keyasint,omitempty"` // the response exceeds MaxAnswer and is not kept
	Unknown  bool   `cbor:"3,keyasint,omitempty"` // handed over, but no response arrived
}

// NewAnswer returns the answer to keep for a response.
func NewAnswer(body []byte) Answer {
	if len(body) > MaxAnswer {
		return Answer{TooLarge: true}
	}

	return Answer{Body: body}
}

// Verb is what a claimant asks of a holder.
type Verb uint8

// The verbs of a Request.
const (
	Grant Verb = iota + 1 // reserve the key for the execution
	Complete
	Release // the execution was not handed over and never will be
	Lookup  // report the state of the key
)

// Status is a holder's reply.
type Status uint8

// The statuses of a Reply.
const (
	Granted   Status = iota + 1 // reserved for the execution that asked
	Held                        // reserved for another execution
	Completed                   // an execution has ended
	Released                    // the execution that asked gave up before
	Free                        // not claimed
	Full                        // not claimed, and there is no room to claim it
	Moved                       // another agent answers for the seat
	Unseated                    // this agent does not answer for the seat
)

// Request goes from a claimant to the agent that answers for a seat.
type Request struct {
	Verb      Verb             `cbor:"1,keyasint"`
	Seat      view.Incarnation `cbor:"2,keyasint"`
	Key       Key              `cbor:"3,keyasint"`
	Execution Execution        `cbor:"4,keyasint"`
	Answer    Answer           `cbor:"5,keyasint,omitempty"` // of Complete
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
}

// Record is one claim as it moves to another agent. Age replaces a point in
// time, because the clocks of two agents differ.
type Record struct {
	Key       Key           `cbor:"1,keyasint"`
	Execution Execution     `cbor:"2,keyasint"`
	Status    Status        `cbor:"3,keyasint"` // Granted, Completed or Released
	Answer    Answer        `cbor:"4,keyasint,omitempty"`
	Age       time.Duration `cbor:"5,keyasint"`
}

// decoder refuses what a valid message cannot contain.
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
func Encode[M Request | Reply | Transfer | Past](message M) ([]byte, error) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return nil, newError("encode", KindEncoding, err)
	}

	return encoded, nil
}

// DecodeRequest decodes and checks a Request.
func DecodeRequest(encoded []byte) (Request, error) {
	request, err := decode[Request](encoded, maxMessage)
	if err != nil {
		return Request{}, err
	}

	return request, request.Check()
}

// Check reports the first field that is not allowed.
func (r *Request) Check() error {
	if r.Verb < Grant || r.Verb > Lookup {
		return newError("check request", KindEncoding, errors.Errorf("verb %d is not known", r.Verb))
	}

	return check(r.Key, r.Answer)
}

// DecodeReply decodes and checks a Reply.
func DecodeReply(encoded []byte) (Reply, error) {
	reply, err := decode[Reply](encoded, maxMessage)
	if err != nil {
		return Reply{}, err
	}

	return reply, reply.Check()
}

// Check reports the first field that is not allowed.
func (r *Reply) Check() error {
	if r.Status < Granted || r.Status > Unseated {
		return newError("check reply", KindEncoding, errors.Errorf("status %d is not known", r.Status))
	}

	return check(r.Key, r.Answer)
}

// DecodeTransfer decodes and checks a Transfer.
func DecodeTransfer(encoded []byte) (Transfer, error) {
	transfer, err := decode[Transfer](encoded, maxBulk)
	if err != nil {
		return Transfer{}, err
	}

	for _, r := range transfer.Records {
		if r.Status != Granted && r.Status != Completed && r.Status != Released {
			return Transfer{}, newError("decode transfer", KindEncoding, errors.Errorf("status %d of a record", r.Status))
		}

		if r.Age < 0 {
			return Transfer{}, newError("decode transfer", KindLimit, errors.Errorf("negative age %s", r.Age))
		}

		if err := check(r.Key, r.Answer); err != nil {
			return Transfer{}, err
		}
	}

	return transfer, nil
}

// DecodePast decodes and checks a Past.
func DecodePast(encoded []byte) (Past, error) {
	past, err := decode[Past](encoded, maxBulk)
	if err != nil {
		return Past{}, err
	}

	return past, past.Check()
}

// Check reports the first membership that is not allowed. Members must rise by
// incarnation, because ties between holders go to the first.
func (p *Past) Check() error {
	for _, era := range p.Eras {
		sorted := slices.IsSortedFunc(era.Members, func(a, b Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
		if era.Age < 0 || p.Covers < 0 || len(era.Members) == 0 || !sorted {
			return newError("check past", KindLimit, errors.Errorf("era at %s is not valid", era.Position))
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

func check(key Key, answer Answer) error {
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
