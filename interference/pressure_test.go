package interference

import (
	"math"
	"testing"
	"time"
)

// queueTail is the tail latency of a queue with an unloaded latency of 10 ms, in milliseconds.
func queueTail(load float64) float64 { return 10 / (1 - load) }

const target = 50.0 // ms

// headroomOf is the headroom at a total load.
func headroomOf(load float64) float64 { return target / queueTail(load) }

// halfSecond is the time between two readings.
const halfSecond = 500 * time.Millisecond

// The same neighbour takes a fifth of the capacity with eight processors: once in the trough of the
// served image's own load, where the tail rises from 13 to 18 ms, and once at its peak, where it
// rises from 30 to 77 ms. As factors these would be 1.4 and 2.6; as headroom they are equal, so
// that what is learned in the trough is valid at the peak.
func TestPressureIsTheSameInTroughAndPeak(t *testing.T) {
	const processors, share = 8.0, 0.2
	learn := func(own float64) float64 {
		p := NewPressures()
		for range 6 {
			alone, beside := headroomOf(own), headroomOf(own+share)
			p.Observe("watch", Step{Headroom: beside, Change: beside - alone, Fillers: map[string]float64{"heavy": processors}, Over: halfSecond})
			p.Observe("watch", Step{Headroom: alone, Change: alone - beside, Fillers: map[string]float64{"heavy": -processors}, Over: halfSecond})
		}
		return p.Of("watch", "heavy").Mean
	}
	want := share * target / 10 / processors
	if trough, peak := learn(0.22), learn(0.67); math.Abs(trough-want) > 0.01 || math.Abs(peak-want) > 0.01 {
		t.Errorf("learned %.3f in the trough and %.3f at the peak, want %.3f", trough, peak, want)
	}
}

// A pair with a high pressure must be known after one observation, since each further one costs
// the users of the served image half a second over the target. A pair with a very low pressure
// must be known as early, or filling tasks wait although there is free capacity.
func TestOneObservationIsInformative(t *testing.T) {
	p := NewPressures()
	observe := func(image string, pressure float64) {
		change := 8 * pressure
		p.Observe("watch", Step{Headroom: 2 - change, Change: -change, Fillers: map[string]float64{image: 8}, Over: halfSecond})
		p.Observe("watch", Step{Headroom: 2, Change: change, Fillers: map[string]float64{image: -8}, Over: halfSecond})
	}
	observe("heavy", 0.15)
	observe("light", 0.005)
	if m := p.Of("watch", "heavy").Mean; m < 0.11 {
		t.Errorf("pressure of the heavy image is estimated as %.3f", m)
	}
	if m := p.Of("watch", "light").Mean; m > 0.02 {
		t.Errorf("pressure of the light image is estimated as %.3f", m)
	}
	if m := p.Of("watch", "never").Mean; math.Abs(m-PriorPressure().Mean) > 0.01 {
		t.Errorf("pressure of an unobserved pair is estimated as %.3f instead of the prior", m)
	}
}

// Two images begin together. The change must be attributed to the unknown one, not to the one that
// has often been observed to take nothing.
func TestChangeIsAttributedToUncertainPairs(t *testing.T) {
	p := NewPressures()
	for range 10 {
		p.Observe("watch", Step{Headroom: 2, Change: 0, Fillers: map[string]float64{"light": 8}, Over: halfSecond})
		p.Observe("watch", Step{Headroom: 2, Change: 0, Fillers: map[string]float64{"light": -8}, Over: halfSecond})
	}
	p.Observe("watch", Step{Headroom: 1, Change: -1.2, Fillers: map[string]float64{"light": 8, "fresh": 8}, Over: halfSecond})
	light, fresh := p.Of("watch", "light").Mean, p.Of("watch", "fresh").Mean
	if light > 0.03 || fresh < 0.1 {
		t.Errorf("pressure of the known image is estimated as %.3f, of the new one as %.3f", light, fresh)
	}
}

// A worker turns slow just when a filling task begins there, and its tails rise sixfold. Attributed
// in full to that task, this would keep its image away from every other worker.
func TestSlowWorkerHasLimitedInfluence(t *testing.T) {
	p := NewPressures()
	for range 10 {
		p.Observe("watch", Step{Headroom: 2.5, Change: 0, Fillers: map[string]float64{"light": 8}, Over: halfSecond})
		p.Observe("watch", Step{Headroom: 2.5, Change: 0, Fillers: map[string]float64{"light": -8}, Over: halfSecond})
	}
	p.Observe("watch", Step{Headroom: 0.4, Change: -2.1, Fillers: map[string]float64{"light": 8}, Over: halfSecond})
	if m := p.Of("watch", "light").Mean; m > 0.03 {
		t.Errorf("pressure of the filling image is estimated as %.3f afterwards", m)
	}
}

// Estimates of an earlier leader are taken over, but never replace what is known here.
func TestHintsDoNotReplaceKnownPairs(t *testing.T) {
	p := NewPressures()
	p.Hint("watch", "heavy", Estimate{Mean: 0.2, Var: 0.0001, Seen: 20})
	if e := p.Of("watch", "heavy"); e.Mean != 0.2 || e.Seen != 20 {
		t.Errorf("the hint is not applied: %+v", e)
	}
	p.Hint("watch", "heavy", Estimate{Mean: 0.01})
	if p.Of("watch", "heavy").Mean != 0.2 {
		t.Error("a hint replaces a known estimate")
	}
}
