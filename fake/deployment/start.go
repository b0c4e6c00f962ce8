package deployment

import (
	"context"
	"errors"
	"sync"

	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/fake/logservice"
	"github.com/ibistrail/ibistrail/fake/service"
	"github.com/ibistrail/ibistrail/fake/vmlist"
	"github.com/ibistrail/ibistrail/fake/weightstore"
)

// PlatformSettings are the settings of `ibisfake platform`.
type PlatformSettings struct {
	AdminAddress  string              `json:"admin_address"`
	LogAddress    string              `json:"log_address"`
	StoreAddress  string              `json:"store_address"`
	VMListAddress string              `json:"vm_list_address"`
	Log           logservice.Options  `json:"log"`
	Store         weightstore.Options `json:"store"`
	VMs           vmlist.Options      `json:"vms"`
}

// EngineSettings are the settings of one engine.
type EngineSettings struct {
	Address string         `json:"address"`
	Options engine.Options `json:"options"`
}

// EnginesSettings are the settings of `ibisfake engines`.
type EnginesSettings struct {
	AdminAddress string           `json:"admin_address"`
	Engines      []EngineSettings `json:"engines"`
}

// ServiceSettings are the settings of one plain service.
type ServiceSettings struct {
	Address string          `json:"address"`
	Options service.Options `json:"options"`
}

// ServicesSettings are the settings of `ibisfake services`.
type ServicesSettings struct {
	AdminAddress string            `json:"admin_address"`
	Services     []ServiceSettings `json:"services"`
}

// Standins are running stand-ins and their admin server.
type Standins struct {
	Log      *logservice.Service
	Store    *weightstore.Store
	VMs      *vmlist.List
	Engines  map[string]*engine.Engine
	Services map[string]*service.Service

	admin   *faults.Admin
	servers []*faults.Server
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func newStandins() *Standins {
	return &Standins{admin: faults.NewAdmin(), Engines: map[string]*engine.Engine{}, Services: map[string]*service.Service{}}
}

// Close stops the stand-ins and waits until the engines have stopped.
func (s *Standins) Close() {
	if s.cancel != nil {
		s.cancel()
	}
	for _, server := range s.servers {
		server.Close()
	}
	s.wg.Wait()
}

// standin is a stand-in that serves its own address.
type standin interface {
	faults.Standin
	faults.Servable
}

// serve starts a stand-in at an address and registers its fault switches under name.
func (s *Standins) serve(name, address string, st standin) error {
	server, err := faults.Listen(address, st.Handler())
	if err != nil {
		return err
	}
	st.Attach(server)
	s.servers = append(s.servers, server)
	s.admin.Add(name, st)
	return nil
}

func (s *Standins) serveAdmin(address string) error {
	server, err := faults.Listen(address, s.admin)
	if err != nil {
		return err
	}
	s.servers = append(s.servers, server)
	return nil
}

// closeOnError returns s, or closes it if one of errs is not nil and returns the joined errors.
func (s *Standins) closeOnError(errs ...error) (*Standins, error) {
	if err := errors.Join(errs...); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// StartPlatform starts the log service, the weight store and the list of VMs.
func StartPlatform(p PlatformSettings) (*Standins, error) {
	s := newStandins()
	s.Log, s.Store, s.VMs = logservice.New(p.Log), weightstore.New(p.Store), vmlist.New(p.VMs)
	return s.closeOnError(
		s.serve("log", p.LogAddress, s.Log),
		s.serve("store", p.StoreAddress, s.Store),
		s.serve("vms", p.VMListAddress, s.VMs),
		s.serveAdmin(p.AdminAddress),
	)
}

// StartEngines starts model engines.
func StartEngines(p EnginesSettings) (*Standins, error) {
	s := newStandins()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	var errs []error
	for _, es := range p.Engines {
		e := engine.New(es.Options)
		errs = append(errs, s.serve(es.Options.Name, es.Address, e))
		s.Engines[es.Options.Name] = e
		s.wg.Go(func() { _ = e.Run(ctx) }) // always returns nil
	}
	return s.closeOnError(append(errs, s.serveAdmin(p.AdminAddress))...)
}

// StartServices starts plain services.
func StartServices(p ServicesSettings) (*Standins, error) {
	s := newStandins()
	var errs []error
	for _, ss := range p.Services {
		sv := service.New(ss.Options)
		errs = append(errs, s.serve(ss.Options.Name, ss.Address, sv))
		s.Services[ss.Options.Name] = sv
	}
	return s.closeOnError(append(errs, s.serveAdmin(p.AdminAddress))...)
}
