package tide

import (
	"container/heap"
	"time"
)

// TimerID identifies a subscription.
type TimerID uint64

// TimerFunc is called with the current time when a subscription is due.
type TimerFunc func(now time.Time)

type subscription struct {
	ticket TimerID
	due    time.Time
	every  time.Duration
	notify TimerFunc
	index  int
}

type agenda []*subscription

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if a[i].due.Equal(a[j].due) {
		return a[i].ticket < a[j].ticket
	}
	return a[i].due.Before(a[j].due)
}

func (a agenda) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index = i
	a[j].index = j
}

func (a *agenda) Push(x any) {
	s := x.(*subscription)
	s.index = len(*a)
	*a = append(*a, s)
}

func (a *agenda) Pop() any {
	old := *a
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return s
}

// TimerService keeps subscriptions in the order they are due; it belongs to one goroutine.
type TimerService struct {
	agenda agenda
	byID   map[TimerID]*subscription
	last   TimerID
}

// NewTimerService returns a service without subscriptions.
func NewTimerService() *TimerService {
	return &TimerService{byID: make(map[TimerID]*subscription)}
}

// At subscribes to one notification at due.
func (s *TimerService) At(due time.Time, notify TimerFunc) TimerID {
	return s.add(due, 0, notify)
}

// Every subscribes to a notification at first and then every interval.
func (s *TimerService) Every(first time.Time, interval time.Duration, notify TimerFunc) TimerID {
	return s.add(first, interval, notify)
}

// Cancel ends a subscription; one that is unknown or past is left alone.
func (s *TimerService) Cancel(t TimerID) {
	sub, ok := s.byID[t]
	if !ok {
		return
	}
	delete(s.byID, t)
	heap.Remove(&s.agenda, sub.index)
}

// NextDue returns when the earliest subscription is due, and false if there is none.
func (s *TimerService) NextDue() (time.Time, bool) {
	if len(s.agenda) == 0 {
		return time.Time{}, false
	}
	return s.agenda[0].due, true
}

// RunDue notifies every subscription that is due at now; an interval that fell behind is notified once.
func (s *TimerService) RunDue(now time.Time) {
	for len(s.agenda) > 0 && !s.agenda[0].due.After(now) {
		sub := s.agenda[0]
		if sub.every > 0 {
			sub.due = now.Add(sub.every)
			heap.Fix(&s.agenda, 0)
		} else {
			heap.Pop(&s.agenda)
			delete(s.byID, sub.ticket)
		}
		sub.notify(now)
	}
}

func (s *TimerService) add(due time.Time, every time.Duration, notify TimerFunc) TimerID {
	s.last++
	sub := &subscription{ticket: s.last, due: due, every: every, notify: notify}
	s.byID[sub.ticket] = sub
	heap.Push(&s.agenda, sub)
	return sub.ticket
}
