package admission

import (
	"hash/maphash"
	"math"
	"time"
)

const (
	// sketchRows and sketchColumns bound the memory of the key counts to 32 KB. A key is counted
	// too high only if it shares a cell with a busy key in both rows: with twenty busy keys for
	// one in 10,000 keys.
	sketchRows    = 2
	sketchColumns = 2048
	// maxSketchScale is the weight of new counts at which the sketch is scaled back.
	maxSketchScale = 1 << 30
)

// keySketch estimates the work for each key, with exponential decay and in bounded memory (a
// count-min sketch). The zero value is empty.
type keySketch struct {
	seed    maphash.Seed
	cells   [sketchRows][sketchColumns]float64
	startAt time.Time
}

// keyID identifies a key at a target. The key allKeys stands for all.
type keyID struct {
	service string
	target  string
	key     int
}

const allKeys = -1

// add counts work for a key and returns the sum before it.
func (s *keySketch) add(now time.Time, key keyID, work float64) float64 {
	if s.startAt.IsZero() {
		s.startAt = now
		s.seed = maphash.MakeSeed()
	}
	// Old counts decay relative to new ones, whose weight grows.
	scale := math.Exp2(float64(now.Sub(s.startAt)) / float64(halfLife))
	if scale > maxSketchScale {
		for i := range s.cells {
			for k := range s.cells[i] {
				s.cells[i][k] /= scale
			}
		}
		s.startAt, scale = now, 1
	}
	hash := maphash.Comparable(s.seed, key)
	sum := math.Inf(1)
	for i := range s.cells {
		cell := &s.cells[i][hash%sketchColumns]
		sum = min(sum, *cell/scale)
		*cell += work * scale
		hash >>= 32
	}
	return sum
}

// peek returns the sum for a key and counts nothing.
func (s *keySketch) peek(now time.Time, key keyID, _ float64) float64 {
	if s.startAt.IsZero() {
		return 0
	}
	scale := math.Exp2(float64(now.Sub(s.startAt)) / float64(halfLife))
	hash := maphash.Comparable(s.seed, key)
	sum := math.Inf(1)
	for i := range s.cells {
		sum = min(sum, s.cells[i][hash%sketchColumns]/scale)
		hash >>= 32
	}
	return sum
}
