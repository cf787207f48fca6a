package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	began time.Time

	mutex  sync.Mutex // guards everything below
	file   *os.File
	err    error
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &record{began: time.Now(), file: file}, nil
}

// add adds a line.
func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, arguments...)
	if _, err := fmt.Fprintln(r.file, line); err != nil {
		r.err = errors.Join(r.err, err)
	}
}

// violate adds a line that states how the rule was broken.
func (r *record) violate(format string, arguments ...any) {
	r.add("BROKEN: "+format, arguments...)

	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.broken = append(r.broken, fmt.Sprintf(format, arguments...))
}

// violations returns how often the rule was broken.
func (r *record) violations() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return len(r.broken)
}

func (r *record) close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return errors.Join(r.err, r.file.Close())
}
