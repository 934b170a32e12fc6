package soak

import (
	"errors"

	"saddleport/internal/lab/soak/fleet"
)

// inputError turns errors that the caller can correct into an InputError.
func inputError(err error) error {
	if errors.Is(err, fleet.ErrProgramMissing) || errors.Is(err, fleet.ErrDirInUse) {
		return &InputError{err}
	}
	return err
}
