package logbook

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// Log writes events to one destination.
type Log struct {
	logger *log.Logger
	fields log.Fields
}

// Field is one named value of an entry.
type Field struct {
	Name  string
	Value any
}

// F returns a field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// NewLog returns a log that writes logfmt lines to w, each marked with the process name.
func NewLog(w io.Writer, process string) *Log {
	l := &log.Logger{Handler: logfmt.New(w), Level: log.InfoLevel}
	return &Log{logger: l, fields: log.Fields{"process": process}}
}

// Write records the event with its fields.
func (l *Log) Write(e Event, fields ...Field) {
	all := log.Fields{"event": e.Number}
	for name, value := range l.fields {
		all[name] = value
	}
	for _, f := range fields {
		all[f.Name] = f.Value
	}
	entry := l.logger.WithFields(all)
	switch e.Level {
	case Info:
		entry.Info(e.Text)
	case Warn:
		entry.Warn(e.Text)
	case Error:
		entry.Error(e.Text)
	}
}
