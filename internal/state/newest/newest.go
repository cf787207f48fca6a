// Package newest decides when outdated messages show that the newest one was wrong.
//
// A receiver that keeps only the newest message of a writer ignores delayed ones. But a
// single message with too high a number, from a clock that was ahead or from another
// writer, would make it ignore all that follow. A Series counts the outdated messages: a
// writer that keeps sending them runs, and is accepted again. Delayed messages are few,
// or arrive together.
//
// # Usage
//
//	outdated := newest.NewSeries[int64](newest.Policy{Messages: 3, MinSpan: interval, MaxGap: 3 * interval})
//
//	if message.Start >= newestStart {
//		outdated.Reset()
//		// Accept the message.
//	} else if outdated.Observe(now, message.Start, message.Sequence) {
//		// Accept the message, although it is older.
//	}
package newest

import "time"

// Policy tells which outdated messages prove that their writer runs.
type Policy struct {
	Messages int           // number of messages
	MinSpan  time.Duration // minimum time between the first and the last one
	MaxGap   time.Duration // maximum time between two of them
}

// Series is a series of outdated messages of one writer, whose runs are told apart by
// keys. It is not safe for concurrent use.
type Series[K comparable] struct {
	policy   Policy
	key      K
	sequence uint64
	messages int
	first    time.Time
	last     time.Time
}

// NewSeries returns an empty series.
func NewSeries[K comparable](policy Policy) Series[K] { return Series[K]{policy: policy} }

// Observe adds an outdated message. It reports whether the series proves that the writer
// runs; the series is then empty again. A message of another key begins a new series, and
// one that does not follow in its sequence is ignored.
func (s *Series[K]) Observe(now time.Time, key K, sequence uint64) bool {
	switch {
	case s.messages == 0 || s.key != key || now.Sub(s.last) > s.policy.MaxGap:
		s.key, s.messages, s.first = key, 0, now
	case sequence <= s.sequence:
		return false
	}

	s.sequence, s.last = sequence, now
	s.messages++

	if s.messages < s.policy.Messages || now.Sub(s.first) < s.policy.MinSpan {
		return false
	}

	s.Reset()

	return true
}

// Reset empties the series. It is called for each message that is not outdated.
func (s *Series[K]) Reset() { s.messages = 0 }
