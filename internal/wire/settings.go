package wire

// The start of an instance. This file owns the message's form and its complaints;
// what a setting means is left to the settings package.

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"saddleport/choice"
	"saddleport/internal/settings"
)

// decodeStart reads a NEW_INSTANCE. Settings it does not know are skipped.
func decodeStart(line string) (seed uint64, s choice.Settings, err error) {
	fields := strings.Split(line, " ")
	if len(fields) < 2 {
		return 0, s, fieldError("NEW_INSTANCE", "init-seed", "missing")
	}
	seed, err = strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return 0, s, fieldError("NEW_INSTANCE", "init-seed", fmt.Sprintf("%q is not a whole number", fields[1]))
	}
	values, err := settings.Pairs(fields[2:])
	if err != nil {
		return 0, s, startError(err)
	}
	told, err := settings.Decode(values)
	return seed, told.Router, startError(err)
}

// startError names the message that a complaint about a setting came in.
func startError(err error) error {
	var field *settings.FieldError
	if errors.As(err, &field) {
		return fieldError("NEW_INSTANCE", field.Path, field.Problem)
	}
	return err
}
