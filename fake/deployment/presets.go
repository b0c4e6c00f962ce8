package deployment

import "github.com/ibistrail/ibistrail/config"

// preset is a customer's deployment without addresses.
type preset struct {
	customer   string
	zones      []string
	vmsPerZone int
	pools      []poolPlan
	routes     []config.Route // without callers
	callers    map[string][]callerPlan
}

// poolPlan is a pool and the number of its targets.
type poolPlan struct {
	spec    config.Pool // without targets
	targets int
	workMs  int64 // duration of a call; services only
}

type callerPlan struct {
	name   string
	weight int
}

// Timeouts of routes, in milliseconds.
const (
	callTimeoutMs       = 10_000
	completionTimeoutMs = 30_000
	stepTimeoutMs       = 120_000
)

// followWeights returns the weight policy of a pool that follows the newest published version, with the customer's weight
// of staleness.
func followWeights(stalenessWeight float64) *config.Weights {
	return &config.Weights{Follow: true, ServingFloorPercent: 50, StalenessWeight: stalenessWeight}
}

func engines(name, model string, targets int, stalenessWeight float64) poolPlan {
	return poolPlan{
		spec:    config.Pool{Name: name, Kind: config.PoolEngines, Model: model, Weights: followWeights(stalenessWeight), FencingChecked: true},
		targets: targets,
	}
}

func services(name string, targets int, workMs int64) poolPlan {
	return poolPlan{spec: config.Pool{Name: name, Kind: config.PoolServices}, targets: targets, workMs: workMs}
}

var presets = map[Preset]*preset{
	PresetSmall: {
		customer: "magnolia", zones: []string{"dixie-east-a", "dixie-east-b"}, vmsPerZone: 1,
		pools: []poolPlan{
			engines("drafting-models", "drafting", 4, 0.2),
			services("errata-desk", 2, DefaultServiceWorkMs),
			services("scoring", 2, DefaultScoreWorkMs),
		},
		routes: []config.Route{
			{Name: "corrections", Kind: config.RouteHTTP, PathPrefix: "/errata", Pool: "errata-desk", Priority: 0, TimeoutMs: callTimeoutMs, NonIdempotent: true},
			{Name: "archive", Kind: config.RouteHTTP, PathPrefix: "/archive", Pool: "errata-desk", Priority: 4, TimeoutMs: callTimeoutMs},
			{Name: "drafts", Kind: config.RouteCompletions, Model: "drafting", Pool: "drafting-models", Priority: 1, TimeoutMs: completionTimeoutMs},
			{Name: "rollouts", Kind: config.RouteSteps, Pool: "drafting-models", Priority: 3, TimeoutMs: stepTimeoutMs, MaxStalenessVersions: 8},
			{Name: "scoring", Kind: config.RouteHTTP, PathPrefix: "/scoring", Pool: "scoring", Priority: 3, TimeoutMs: callTimeoutMs},
		},
		callers: map[string][]callerPlan{
			"corrections": {{name: "desk-app"}}, "archive": {{name: "syndication"}}, "drafts": {{name: "desk-app"}},
			"rollouts": {{name: "trainer-drafting"}, {name: "trainer-flags"}}, "scoring": {{name: "trainer-drafting"}, {name: "trainer-flags"}},
		},
	},
	PresetMagnolia: {
		customer: "magnolia", zones: []string{"dixie-east-a", "dixie-east-b", "dixie-east-c", "dixie-east-d"}, vmsPerZone: 3,
		pools: []poolPlan{
			engines("drafting-models", "drafting", 9, 0.2),
			services("errata-desk", 6, DefaultServiceWorkMs),
			services("archive", 4, DefaultServiceWorkMs),
			services("scoring", 4, DefaultScoreWorkMs),
		},
		routes: []config.Route{
			{Name: "corrections", Kind: config.RouteHTTP, PathPrefix: "/errata", Pool: "errata-desk", Priority: 0, TimeoutMs: callTimeoutMs, NonIdempotent: true},
			{Name: "drafts", Kind: config.RouteCompletions, Model: "drafting", Pool: "drafting-models", Priority: 1, TimeoutMs: completionTimeoutMs},
			{Name: "rollouts", Kind: config.RouteSteps, Pool: "drafting-models", Priority: 3, TimeoutMs: stepTimeoutMs, MaxStalenessVersions: 8},
			{Name: "scoring", Kind: config.RouteHTTP, PathPrefix: "/scoring", Pool: "scoring", Priority: 3, TimeoutMs: callTimeoutMs},
			{Name: "archive", Kind: config.RouteHTTP, PathPrefix: "/archive", Pool: "archive", Priority: 5, TimeoutMs: callTimeoutMs},
		},
		callers: map[string][]callerPlan{
			"corrections": {{name: "desk-app"}}, "drafts": {{name: "desk-app"}}, "archive": {{name: "syndication"}, {name: "archives"}},
			"rollouts": {{name: "trainer-drafting"}, {name: "trainer-flags"}}, "scoring": {{name: "trainer-drafting"}, {name: "trainer-flags"}},
		},
	},
	PresetSongHan: {
		customer: "songhan", zones: []string{"danang-a", "hoian-b", "hue-c"}, vmsPerZone: 4,
		pools: []poolPlan{
			engines("menu-drafter", "menus", 9, 0.8),
			services("order-desk", 8, DefaultServiceWorkMs),
			services("pantry", 3, DefaultServiceWorkMs),
			services("dispatch-feedback", 3, DefaultScoreWorkMs),
		},
		routes: []config.Route{
			{Name: "bookings", Kind: config.RouteHTTP, PathPrefix: "/bookings", Pool: "order-desk", Priority: 0, TimeoutMs: callTimeoutMs, NonIdempotent: true},
			{Name: "menus", Kind: config.RouteCompletions, Model: "menus", Pool: "menu-drafter", Priority: 2, TimeoutMs: completionTimeoutMs},
			{Name: "rollouts", Kind: config.RouteSteps, Pool: "menu-drafter", Priority: 2, TimeoutMs: stepTimeoutMs, MaxStalenessVersions: 4},
			{Name: "scoring", Kind: config.RouteHTTP, PathPrefix: "/feedback", Pool: "dispatch-feedback", Priority: 2, TimeoutMs: callTimeoutMs},
			{Name: "pantry", Kind: config.RouteHTTP, PathPrefix: "/pantry", Pool: "pantry", Priority: 7, TimeoutMs: callTimeoutMs},
		},
		callers: map[string][]callerPlan{
			"bookings": {{name: "coach-tours", weight: 2}, {name: "boat-trips", weight: 1}}, "menus": {{name: "kitchen"}}, "pantry": {{name: "stock-system"}},
			"rollouts": {{name: "trainer-menus"}, {name: "trainer-allergy"}}, "scoring": {{name: "trainer-menus"}, {name: "trainer-allergy"}},
		},
	},
}
