package document

import (
	"cmp"
	"slices"
	"strings"

	"jayspindle/internal/state/view"
)

// Matcher selects the class of a request. It is immutable, and Match does not
// allocate.
type Matcher struct {
	classes []view.Class // longest path prefix first
}

// NewMatcher returns a matcher for the classes of one service.
func NewMatcher(classes []view.Class) *Matcher {
	sorted := slices.Clone(classes)
	slices.SortStableFunc(sorted, func(a, b view.Class) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })

	return &Matcher{classes: sorted}
}

// Match returns the class with the request's method and the longest prefix of
// its path, compared by whole segments. The path is the decoded path of the
// URL without query. A path with empty or dot segments matches no class: a
// backend server could resolve it to the path of another class. The caller
// must not modify the class.
func (m *Matcher) Match(method, path string) (*view.Class, bool) {
	if !isCleanPath(path) {
		return nil, false
	}

	for i := range m.classes {
		class := &m.classes[i]
		if class.Method == method && hasPathPrefix(path, class.PathPrefix) {
			return class, true
		}
	}

	return nil, false
}

func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}

	return len(path) == len(prefix) || prefix == "/" || path[len(prefix)] == '/'
}

// isCleanPath reports whether the path is absolute and has no segment "." or "..",
// and no empty segment except after a trailing slash.
func isCleanPath(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}

	rest := path[1:]
	for rest != "" {
		segment, after, _ := strings.Cut(rest, "/")
		if segment == "" || segment == "." || segment == ".." {
			return false
		}

		rest = after
	}

	return true
}
