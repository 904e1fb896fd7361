package mesh

import (
	"fmt"
	"testing"
	"time"
)

// TestUpgradeOfHalfTheFleet guards against nodes of two versions that do not hear each other,
// or count each other twice, during an upgrade under load.
func TestUpgradeOfHalfTheFleet(t *testing.T) {
	for _, size := range []struct{ nodes, dataCentres int }{{12, 3}, {30, 5}, {100, 5}} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes, whole data centres %v", size.nodes, all), func(t *testing.T) {
				t.Parallel()
				f := newExchangeFleet(size.nodes, size.dataCentres, 6)
				for i, m := range f.members {
					// Either the first two data centres are of the version before, or every other
					// node of each.
					if all && i%size.dataCentres < 2 || !all && i/size.dataCentres%2 == 0 {
						m.earlier, m.heard = true, map[string]time.Duration{}
					}
				}
				f.run(5*time.Second, nil)
				f.checkUpgrade(t)
				// The others are upgraded one after the other.
				for _, m := range f.members {
					if m.earlier {
						m.earlier = false
						f.start(m)
						f.run(100*time.Millisecond, nil)
					}
				}
				f.run(legacyMemory+2*time.Second, nil)
				f.checkUpgrade(t)
				if err := f.checkComplete(); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// checkUpgrade checks that the plan of each node counts the slots of all nodes once, and that
// nodes of the version before hear all others.
func (f *exchangeFleet) checkUpgrade(t *testing.T) {
	t.Helper()
	want := float64(len(f.members) * concurrencyLimit(f.members[0].slots))
	for _, m := range f.members {
		if m.earlier {
			for _, other := range f.members {
				if last, ok := m.heard[other.ip]; other != m && (!ok || f.now-last > 4*earlierInterval) {
					t.Errorf("at %v: %s of the version before does not hear %s, of the same version %v", f.now, m.ip, other.ip, other.earlier)
				}
			}
			continue
		}
		got := 0.0
		for _, view := range m.node.admission.services {
			got += view.limit
		}
		if got != want {
			t.Errorf("at %v: %s counts %v slots, want %v", f.now, m.ip, got, want)
		}
	}
}
