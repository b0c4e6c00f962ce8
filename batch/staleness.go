package batch

// stalenessWindow is the number of a model's newest submissions that its allowance follows.
const stalenessWindow = 4

// Allowance returns by how many versions the engines of a pool may lag behind a model's newest
// version and still serve its newest steps. ok is false where no step of the model is known.
func (s *Service) Allowance(pool, model string) (versions int64, ok bool) {
	p := s.partitionOf(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := 0
	for i := len(p.book.order) - 1; i >= 0 && seen < stalenessWindow; i-- {
		sub := p.book.entries[p.book.order[i]].head
		if sub.Model != model {
			continue
		}
		lag := max(0, sub.NewestVersion-sub.MinVersion)
		if !ok || lag < versions {
			versions, ok = lag, true
		}
		seen++
	}
	return versions, ok
}
