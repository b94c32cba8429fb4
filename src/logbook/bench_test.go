package logbook

import (
	"io"
	"testing"
	"time"
)

// BenchmarkLine measures what a line about a request costs: written, and passed over by the sampler.
func BenchmarkLine(b *testing.B) {
	b.Run("written", func(b *testing.B) {
		q := NewQueue(io.Discard, QueueLimit)
		defer q.Close()
		l := NewLog(q, "entry-1")
		for b.Loop() {
			l.Write(JobAnswered, F("id", "5c0e7a21d94b36f8"), F("route", "r-1"), F("outcome", "completed"), F("ms", 112))
		}
	})
	b.Run("passed over", func(b *testing.B) {
		s := NewSampler(0)
		now := time.Unix(0, 0)
		s.Keep("", now.Add(time.Second))
		for b.Loop() {
			s.Keep("5c0e7a21d94b36f8", now)
		}
	})
}
