package catalog

// keptAnswers bounds the memory of answers to submissions over all
// environments: at 13,000 changes a day it reaches back more than 7 hours. A
// resend after that cannot apply a change twice, because its base version is
// no longer in force.
const keptAnswers = 4096

// answer is the first answer to a change ID.
type answer struct {
	ID       string   `cbor:"1,keyasint"`
	Contents [32]byte `cbor:"2,keyasint"` // hash of the command, to detect reuse of the ID
	Result   Result   `cbor:"3,keyasint"`
}

// answers remembers the first answers, oldest first.
type answers struct {
	order []*answer
	byID  map[string]*answer
}

func (a *answers) add(id string, contents [32]byte, result Result) {
	added := &answer{ID: id, Contents: contents, Result: result}
	a.order = append(a.order, added)
	a.byID[id] = added

	if len(a.order) > keptAnswers {
		delete(a.byID, a.order[0].ID)
		a.order = a.order[1:]
	}
}
