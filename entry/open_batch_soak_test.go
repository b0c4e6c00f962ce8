package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// The part of the soak in which the routes of open batches change.
const (
	openPath = "/open/"
	// droppedService runs batches on openPath, and is in the tables only while their route goes there. Its partition is that of no other service.
	droppedService  = "dropped-drafting"
	droppedEngines  = 2
	openItems       = 12
	maxRouteChanges = 4
)

// openRoute is what the tables say of the batches on openPath.
type openRoute struct {
	// service is that of the route; empty if the route is gone.
	service string
	// cover is JSON of a route with a longer prefix, with a leading comma, or "".
	cover string
}

// setOpenRoute changes the tables.
func (s *processSoak) setOpenRoute(r openRoute) {
	s.reconfigure(func() {
		s.openRoutes, s.moreServices = r.cover, spareServiceRow()
		if r.service != "" {
			s.openRoutes += batchRouteRow("r-open", openPath, r.service)
		}
		if r.service == droppedService {
			s.moreServices += fmt.Sprintf(`,{"Name":%q,"HealthPath":"/healthz","MaxConns":100,"Engine":{"Slots":4,"Stride":10,"Models":[{"Name":%q}]}}`, droppedService, model)
		}
	})
	s.note("open route", map[string]any{"service": r.service, "cover": r.cover})
}

// changeOpenRoutes submits batches, and changes their route at drawn times while they are open: it moves, its service leaves the tables, it is gone
// and comes back, and other routes take its path. Each batch is completed once its route is there.
func (s *processSoak) changeOpenRoutes(rng *rand.Rand, faultsOver <-chan struct{}) {
	for i := range droppedEngines {
		e := s.startTarget(fmt.Sprintf("dropped-%d", i), droppedService, 4, model)
		e.Set(func(e *errata.Target) {
			e.EventsPerStream, e.EventInterval, e.TagEvents = 30, 25*time.Millisecond, true
		})
		s.dropped = append(s.dropped, e)
	}
	services := []string{"drafting", droppedService}
	for round := 0; ; round++ {
		select {
		case <-faultsOver:
			return
		default:
		}
		now := openRoute{service: services[rng.IntN(len(services))]}
		s.setOpenRoute(now)
		// Each round has a path of its own, so that no VM has a former cover of it in force.
		batch, path := fmt.Sprintf("o-b%d", round), fmt.Sprintf("%sr%d/", openPath, round)
		var items []string
		for i := range openItems {
			items = append(items, fmt.Sprintf("%s-i%d", batch, i))
		}
		body := submission(round, 0, items...)
		s.untilDone(batch+" is accepted", func() bool {
			return s.call(s.anyNode(rng), http.MethodPost, path+batch, batch, body).status == http.StatusAccepted
		})
		for range 1 + rng.IntN(maxRouteChanges) {
			switch rng.IntN(4) {
			case 0:
				now.service = services[rng.IntN(len(services))]
			case 1:
				now.service = ""
			case 2:
				now.cover = plainRouteRow("r-cover", path)
			case 3:
				now.cover = batchRouteRow("r-cover", path, spareService)
			}
			s.setOpenRoute(now)
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		}
		if now.service == "" {
			now.service = services[rng.IntN(len(services))]
			s.setOpenRoute(now)
		}
		s.readBatch(rng, batch, items)
		s.batches.Add(1)
	}
}
