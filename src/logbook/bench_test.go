package logbook

import (
	"io"
	"testing"
	"time"
)

// BenchmarkWriteLine measures the cost of a log line about a request, both when it is written and when the sampler skips it.
func BenchmarkWriteLine(b *testing.B) {
	b.Run("written", func(b *testing.B) {
		q := NewQueue(io.Discard, QueueLimit)
		defer q.Close()
		l := NewLog(q, "entry-1")
		for b.Loop() {
			l.Write(JobAnswered, F("id", "5c0e7a21d94b36f8"), F("route", "r-1"), F("outcome", "completed"), F("ms", 112))
		}
	})
	b.Run("sampled out", func(b *testing.B) {
		s := NewSampler(0)
		now := time.Unix(0, 0)
		s.Keep("", now.Add(time.Second))
		for b.Loop() {
			s.Keep("5c0e7a21d94b36f8", now)
		}
	})
}
