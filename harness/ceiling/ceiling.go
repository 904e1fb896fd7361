// Package ceiling computes what the sound slots of a window could have served, as the bound to
// which the figures of a day are compared.
package ceiling

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// ErrNoSolution means that the window cannot be computed, because a value is negative or no
// number.
var ErrNoSolution = errors.New("no ceiling for this window")

// Route is the demand of callers for one route.
type Route struct {
	Name string
	// Demand is in requests per second, Worth is that of one request served.
	Demand, Worth float64
	// Loads holds, by service, the slots that one request per second keeps in use.
	Loads map[string]float64
}

// Window is a time in which demand and capacity stay the same.
type Window struct {
	Routes []Route
	// Slots holds the sound slots by service.
	Slots map[string]float64
}

// Result is the most that can be served in a window.
type Result struct {
	// Served holds the requests per second by route.
	Served map[string]float64
	// WorthRatio is the worth served, relative to that of all demand.
	WorthRatio float64
	// Binding names the services all of whose slots are in use.
	Binding []string
}

// bindingShare is the share of a service's slots in use from which it counts as binding.
const bindingShare = 0.999

// Compute returns the ceiling of a window: the greatest worth for which no service needs more
// slots than it has. Requests that are not served are assumed to use none.
func Compute(w Window) (Result, error) {
	services := make([]string, 0, len(w.Slots))
	for name := range w.Slots {
		services = append(services, name)
	}
	n, m := len(w.Routes), len(services)+len(w.Routes)
	// Each service and each route has one inequality, which a slack variable makes an equation.
	a := mat.NewDense(m, n+m, nil)
	b, c := make([]float64, m), make([]float64, n+m)
	for i, name := range services {
		for j, r := range w.Routes {
			a.Set(i, j, r.Loads[name])
		}
		a.Set(i, n+i, 1)
		b[i] = w.Slots[name]
	}
	for j, r := range w.Routes {
		row := len(services) + j
		a.Set(row, j, 1)
		a.Set(row, n+row, 1)
		b[row], c[j] = r.Demand, -r.Worth
	}
	_, x, err := lp.Simplex(c, a, b, 0, nil)
	if err != nil {
		return Result{}, errors.Mark(errors.Wrap(err, "ceiling"), ErrNoSolution)
	}
	return w.result(services, x), nil
}

func (w Window) result(services []string, x []float64) Result {
	r := Result{Served: map[string]float64{}}
	served, offered := 0.0, 0.0
	used := map[string]float64{}
	for j, route := range w.Routes {
		r.Served[route.Name] = x[j]
		served += x[j] * route.Worth
		offered += route.Demand * route.Worth
		for name, load := range route.Loads {
			used[name] += x[j] * load
		}
	}
	if offered > 0 {
		r.WorthRatio = served / offered
	}
	for _, name := range services {
		if used[name] >= bindingShare*w.Slots[name] {
			r.Binding = append(r.Binding, name)
		}
	}
	return r
}
