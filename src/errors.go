package sesamecleat

import (
	"strings"

	"sesamecleat/src/survey"
)

// plain returns an error's text; findings stand alone, without the class of their error.
func plain(err error) string {
	text := err.Error()
	if survey.Error.Has(err) {
		return strings.TrimPrefix(text, "survey: ")
	}
	return text
}
