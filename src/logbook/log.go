package logbook

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// Log writes events to an io.Writer.
type Log struct {
	logger *log.Logger
	fields log.Fields
}

// Field is a key-value pair of a log entry.
type Field struct {
	Name  string
	Value any
}

// F returns the field name=value.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// NewLog returns a log that writes logfmt lines to w, each with the process name in the field "process".
func NewLog(w io.Writer, process string) *Log {
	l := &log.Logger{Handler: logfmt.New(w), Level: log.InfoLevel}
	return &Log{logger: l, fields: log.Fields{"process": process}}
}

// Write writes one line for the event with the given fields.
func (l *Log) Write(e Event, fields ...Field) {
	merged := log.Fields{"event": e.Number}
	for name, value := range l.fields {
		merged[name] = value
	}
	for _, f := range fields {
		merged[f.Name] = f.Value
	}
	entry := l.logger.WithFields(merged)
	switch e.Level {
	case Info:
		entry.Info(e.Text)
	case Warn:
		entry.Warn(e.Text)
	case Error:
		entry.Error(e.Text)
	}
}
