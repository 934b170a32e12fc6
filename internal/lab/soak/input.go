package soak

import (
	"errors"

	"saddleport/internal/lab/soak/fleet"
)

// inputError marks what a caller can mend.
func inputError(err error) error {
	if errors.Is(err, fleet.ErrProgramMissing) || errors.Is(err, fleet.ErrDirInUse) {
		return &InputError{err}
	}
	return err
}
