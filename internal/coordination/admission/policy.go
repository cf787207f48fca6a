package admission

import (
	"time"

	"jayspindle/internal/state/view"
)

// DefaultQueueLength bounds the waiting requests of one class. With 4 slots
// and service times of 50 ms, 64 requests are 0.8 s of work, which is less
// than the deadlines in use. In a longer queue more requests would only be answered
// too late.
const DefaultQueueLength = 64

// Policy describes the backend server that a scheduler protects.
type Policy struct {
	Classes     []view.Class
	Slots       int // requests that run at a time
	Connections int // feeds that are open at a time
	QueueLength int // waiting requests of one class
}

// PolicyOf returns the policy for a backend server of the service.
func PolicyOf(service view.Service) Policy {
	return Policy{
		Classes:     service.Classes,
		Slots:       int(service.Slots),
		Connections: int(service.Connections),
		QueueLength: DefaultQueueLength,
	}
}

// Request is a request that asks for a slot or, in a feed class, a connection.
type Request struct {
	ID       uint64 // unique among the requests that the scheduler holds
	Class    string
	Deadline time.Time // optional; the class caps it
}

// Action tells the agent what to do with a request.
type Action uint8

// The actions of a Decision.
const (
	// Run: hand the request over now.
	Run Action = iota + 1
	// Wait: the request is queued until a later Decision.
	Wait
	// Refuse: the request was not run and will not be.
	Refuse
	// Abort: the request runs; stop it and call Finish when it has ended.
	Abort
	// Ignore: the scheduler does not hold the request.
	Ignore
)

// Reason tells why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonNone        Reason = ""
	ReasonDraining    Reason = "draining"
	ReasonClass       Reason = "unknown class"
	ReasonDuplicate   Reason = "duplicate request ID"
	ReasonConnections Reason = "connection limit"
	ReasonQueue       Reason = "queue full"
	ReasonDeadline    Reason = "deadline cannot be met"
	ReasonCancelled   Reason = "cancelled"
)

// Decision is the result for one request.
type Decision struct {
	ID     uint64
	Action Action
	Reason Reason
}

// Outcome tells how a running request ended.
type Outcome uint8

// The outcomes of a running request.
const (
	// Completed: the backend server answered.
	Completed Outcome = iota + 1
	// Abandoned: the agent stopped waiting, so the time taken is only a lower
	// bound of the service time.
	Abandoned
)
