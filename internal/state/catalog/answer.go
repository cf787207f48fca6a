package catalog

// maxAnswers limits the remembered answers to submissions of all environments:
// at 13,000 changes a day they cover more than 7 hours. A later resend cannot
// apply a change twice, because its base version is no longer in force.
const maxAnswers = 4096

// answer is the result of the first submission with a change ID.
type answer struct {
	ID          string   `cbor:"1,keyasint"`
	CommandHash [32]byte `cbor:"2,keyasint"` // to detect reuse of the ID
	Result      Result   `cbor:"3,keyasint"`
}

// answers holds the answers to recent submissions, oldest first.
type answers struct {
	order []*answer
	byID  map[string]*answer
}

func (a *answers) add(id string, commandHash [32]byte, result Result) {
	added := &answer{ID: id, CommandHash: commandHash, Result: result}
	a.order = append(a.order, added)
	a.byID[id] = added

	if len(a.order) > maxAnswers {
		delete(a.byID, a.order[0].ID)
		a.order = a.order[1:]
	}
}
