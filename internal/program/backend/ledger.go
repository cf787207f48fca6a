package backend

import (
	"bufio"
	"os"
	"sync"
)

const ledgerFileMode = 0o600

// Ledger is a file with one line for each run of a non-idempotent request.
// Tests and the demo read it to count runs, also after a crash.
type Ledger struct {
	mutex sync.Mutex // guards file
	file  *os.File
}

// NewLedger opens the ledger for appending. An empty name gives a ledger that
// records nothing.
func NewLedger(name string) (*Ledger, error) {
	if name == "" {
		return &Ledger{}, nil
	}

	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, ledgerFileMode)
	if err != nil {
		return nil, newError("open ledger", KindFile, err)
	}

	return &Ledger{file: file}, nil
}

// Record writes a line for a run. When Record returns, the kernel has the line, so
// it survives a crash of the process.
func (l *Ledger) Record(key string) error {
	if l.file == nil {
		return nil
	}

	l.mutex.Lock()
	defer l.mutex.Unlock()

	if _, err := l.file.WriteString(key + "\n"); err != nil {
		return newError("record run", KindFile, err)
	}

	return nil
}

// Close closes the ledger file.
func (l *Ledger) Close() error {
	if l.file == nil {
		return nil
	}

	if err := l.file.Close(); err != nil {
		return newError("close ledger", KindFile, err)
	}

	return nil
}

// CountRuns returns the number of runs of each key in the ledger files.
func CountRuns(names ...string) (map[string]int, error) {
	runs := make(map[string]int)

	for _, name := range names {
		if err := countFile(name, runs); err != nil {
			return nil, err
		}
	}

	return runs, nil
}

func countFile(name string, runs map[string]int) error {
	file, err := os.Open(name)
	if err != nil {
		return newError("count runs", KindFile, err)
	}
	defer file.Close() //nolint:errcheck // the file was only read

	lines := bufio.NewScanner(file)
	for lines.Scan() {
		runs[lines.Text()]++
	}

	if err := lines.Err(); err != nil {
		return newError("count runs", KindFile, err)
	}

	return nil
}
