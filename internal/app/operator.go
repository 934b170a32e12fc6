package app

// This file names the sections of the operator file. A subsystem adds its own by
// one line in sections and one in apply.

import (
	"saddleport/internal/logs"
	"saddleport/internal/operator"
)

// Operator is what the operator file says.
type Operator struct {
	File *operator.File
	Log  logs.Settings
}

func (o *Operator) sections() []operator.Section {
	return []operator.Section{
		{Name: "log", Help: "what is logged; SIGHUP changes it", Into: &o.Log},
	}
}

// LoadOperator reads the operator file; an empty path means that there is none.
func LoadOperator(path string) (*Operator, error) {
	o := &Operator{}
	f, err := operator.Load(path, o.sections())
	if err != nil {
		return nil, err
	}
	o.File = f
	return o, nil
}
