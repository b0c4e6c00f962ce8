package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// publisher publishes versions of one model to the weight store and holds the newest.
type publisher struct {
	site    *Site
	model   string
	version atomic.Int64
	mu      sync.Mutex
	// publishedAt holds the publication time of each version.
	publishedAt map[int64]time.Time
}

// newPublisher returns a publisher whose newest published version is version.
func newPublisher(site *Site, model string, version int64) *publisher {
	p := &publisher{site: site, model: model, publishedAt: map[int64]time.Time{}}
	p.version.Store(version)
	return p
}

// publish publishes the next version. The newest version changes only after the store has accepted it.
func (p *publisher) publish(ctx context.Context) error {
	v := p.version.Load() + 1
	url := fmt.Sprintf("%s/v1/models/%s/versions/%d", p.site.Endpoints.Store, p.model, v)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, nil)
	if err != nil {
		return err
	}
	resp, err := p.site.HTTP.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("weight store answers %s to version %d of %s", resp.Status, v, p.model)
	}
	p.version.Store(v)
	p.mu.Lock()
	p.publishedAt[v] = time.Now()
	p.mu.Unlock()
	return nil
}
