package versions

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ibistrail/ibistrail/fleet"
)

// Assign shares a pool's engines between its models, as evenly as their number allows. An engine
// goes to the model of which it is least behind, so that the assignment follows what earlier orders
// made of the engines and needs no memory; equal engines are shared by a hash of their IDs. All
// VMs that see the same registrations compute the same assignment.
func Assign(models []string, named map[string]int64, instances []*fleet.Instance) map[string]string {
	out := make(map[string]string, len(instances))
	if len(models) == 0 {
		return out
	}
	models = slices.Sorted(slices.Values(models))
	type preference struct {
		instance *fleet.Instance
		model    int
		// lead is by how many versions the preferred model is ahead of the next.
		lead int64
		hash uint64
	}
	prefs := make([]preference, 0, len(instances))
	for _, in := range instances {
		p := preference{instance: in, hash: xxhash.Sum64String(in.Name)}
		p.model, p.lead = prefer(models, named, in, p.hash)
		prefs = append(prefs, p)
	}
	slices.SortFunc(prefs, func(a, b preference) int {
		return cmp.Or(cmp.Compare(b.lead, a.lead), cmp.Compare(a.hash, b.hash))
	})
	quota := make([]int, len(models))
	for i := range quota {
		quota[i] = len(instances) / len(models)
		if i < len(instances)%len(models) {
			quota[i]++
		}
	}
	for _, p := range prefs {
		m := p.model
		for k := 0; quota[m] == 0 && k < len(models); k++ {
			m = (m + 1) % len(models)
		}
		quota[m]--
		out[p.instance.Name] = models[m]
	}
	return out
}

// prefer returns the model of which the engine is least behind, and its lead over the next best.
func prefer(models []string, named map[string]int64, in *fleet.Instance, hash uint64) (best int, lead int64) {
	start := int(hash % uint64(len(models)))
	bestLag, nextLag := int64(1<<62), int64(1<<62)
	for k := range models {
		i := (start + k) % len(models)
		lag := max(0, named[models[i]]-in.Versions[models[i]])
		switch {
		case lag < bestLag:
			best, nextLag, bestLag = i, bestLag, lag
		case lag < nextLag:
			nextLag = lag
		}
	}
	if len(models) == 1 {
		return best, 0
	}
	return best, nextLag - bestLag
}
