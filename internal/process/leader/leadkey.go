package leader

// leadKey is the newest known state of the lead key. Watches, snapshots and the
// answers to this host's own writes tell of it in any order; what is older than
// the newest one is ignored.
type leadKey struct {
	// member and revision are the key's value and revision; zero without a key.
	member   Member
	revision int64
	// known is the store's revision at which the key was in this state. It never
	// falls.
	known int64
}

// set applies a write of the key at a revision. It reports whether that is news.
func (k *leadKey) set(member Member, revision int64) bool {
	if revision <= k.known {
		return false
	}
	k.member, k.revision, k.known = member, revision, revision
	return true
}

// remove applies that there was no key at a revision. It reports whether that is
// news.
func (k *leadKey) remove(revision int64) bool {
	if revision <= k.known {
		return false
	}
	first := k.known == 0
	had := k.revision != 0
	k.member, k.revision, k.known = Member{}, 0, revision
	return first || had
}

// lapse applies that the key is gone since its lease has ended, at a revision that
// is not known yet.
func (k *leadKey) lapse() {
	k.member, k.revision = Member{}, 0
}
