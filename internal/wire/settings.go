package wire

// The start of an instance. This file decodes the message and reports its errors; the settings package decodes the
// settings themselves.

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"saddleport/choice"
	"saddleport/internal/settings"
)

// decodeStart decodes a NEW_INSTANCE. Unknown settings are ignored.
func decodeStart(line string) (seed uint64, routerSettings choice.Settings, err error) {
	fields := strings.Split(line, " ")
	if len(fields) < 2 {
		return 0, routerSettings, fieldError("NEW_INSTANCE", "init-seed", "missing")
	}
	seed, err = strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return 0, routerSettings, fieldError("NEW_INSTANCE", "init-seed", fmt.Sprintf("%q is not an integer", fields[1]))
	}
	values, err := settings.ParsePairs(fields[2:])
	if err != nil {
		return 0, routerSettings, startError(err)
	}
	decoded, err := settings.Decode(values)
	return seed, decoded.Router, startError(err)
}

// startError adds the name of the message to an error about a setting.
func startError(err error) error {
	var fieldErr *settings.FieldError
	if errors.As(err, &fieldErr) {
		return fieldError("NEW_INSTANCE", fieldErr.Path, fieldErr.Problem)
	}
	return err
}
